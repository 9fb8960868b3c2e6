package ibisgate

import (
	_ "embed" // for codes.json
	"encoding/json"
	"fmt"
	"net/http"

	"ibiscrank/ibiswork"
)

//go:embed codes.json
var codesFile []byte

// codeRule maps a refusal code to its HTTP status and default retry delay.
type codeRule struct {
	Code         ibiswork.Code `json:"Code"`
	Status       int           `json:"Status"`       // HTTP status
	RetryAfterMS int64         `json:"RetryAfterMS"` // default when the refusal sets none; zero if a retry cannot help
}

var codeRules = mustParseCodes(codesFile)

func mustParseCodes(b []byte) map[ibiswork.Code]codeRule {
	var list []codeRule
	if err := json.Unmarshal(b, &list); err != nil {
		panic(fmt.Sprintf("codes.json: %v", err))
	}
	rules := make(map[ibiswork.Code]codeRule, len(list))
	for _, rule := range list {
		rules[rule.Code] = rule
	}
	return rules
}

// HTTPStatus returns the HTTP status for a refusal code, 500 for an unknown code.
func HTTPStatus(c ibiswork.Code) int {
	if rule, ok := codeRules[c]; ok {
		return rule.Status
	}
	return http.StatusInternalServerError
}
