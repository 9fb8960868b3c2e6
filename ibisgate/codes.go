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

// codeRule is how a refusal of one code is sent.
type codeRule struct {
	Code         ibiswork.Code `json:"Code"`
	Status       int           `json:"Status"`       // of HTTP
	RetryAfterMS int64         `json:"RetryAfterMS"` // when the refusal names none; zero when a retry cannot help
}

var codeRules = mustReadCodes(codesFile)

func mustReadCodes(b []byte) map[ibiswork.Code]codeRule {
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

// HTTPStatus is the HTTP status with which a refusal of that code is sent.
func HTTPStatus(c ibiswork.Code) int {
	if rule, ok := codeRules[c]; ok {
		return rule.Status
	}
	return http.StatusInternalServerError
}
