package ibisgate

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"ibiscrank/ibiswork"
)

const apiPage = "../docs/API.md"

// declaredCodes parses the constants of type Code from the source of ibiswork.
func declaredCodes(t *testing.T) []ibiswork.Code {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../ibiswork/refusal.go", nil, 0)
	assert.NilError(t, err)
	var codes []ibiswork.Code
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || fmt.Sprint(spec.Type) != "Code" {
			return true
		}
		for _, v := range spec.Values {
			s, err := strconv.Unquote(v.(*ast.BasicLit).Value)
			assert.NilError(t, err)
			codes = append(codes, ibiswork.Code(s))
		}
		return true
	})
	assert.Assert(t, len(codes) > 0)
	return codes
}

func TestEveryCodeHasAStatus(t *testing.T) {
	codes := declaredCodes(t)
	assert.Equal(t, len(codeRules), len(codes))
	for _, c := range codes {
		rule, ok := codeRules[c]
		assert.Assert(t, ok, "%s", c)
		assert.Assert(t, rule.Status >= 400 && rule.Status < 600, "%s", c)
	}
}

// section returns the text under a second-level heading of the page.
func section(t *testing.T, page, heading string) string {
	t.Helper()
	_, rest, ok := strings.Cut(page, "\n## "+heading+"\n")
	assert.Assert(t, ok, "no section %s", heading)
	body, _, _ := strings.Cut(rest, "\n## ")
	return body
}

func TestPageListsEveryRoute(t *testing.T) {
	b, err := os.ReadFile(apiPage)
	assert.NilError(t, err)
	routes := section(t, string(b), "Routes")
	router := mux.NewRouter()
	New(nil, nil, nil).Register(router)
	n := 0
	assert.NilError(t, router.Walk(func(route *mux.Route, _ *mux.Router, _ []*mux.Route) error {
		path, err := route.GetPathTemplate()
		assert.NilError(t, err)
		methods, err := route.GetMethods()
		assert.NilError(t, err)
		for _, m := range methods {
			n++
			assert.Assert(t, strings.Contains(routes, "\n### "+m+" "+path+"\n"), "%s %s", m, path)
		}
		return nil
	}))
	assert.Equal(t, strings.Count(routes, "\n### "), n)
	section(t, string(b), "Operators")
}

func TestPageListsEveryCode(t *testing.T) {
	b, err := os.ReadFile(apiPage)
	assert.NilError(t, err)
	table := section(t, string(b), "Codes")
	for _, c := range declaredCodes(t) {
		assert.Assert(t, strings.Contains(table, fmt.Sprintf("\n| `%s` | %d |", c, HTTPStatus(c))), "%s %d", c, HTTPStatus(c))
	}
	assert.Equal(t, strings.Count(table, "\n| `"), len(declaredCodes(t)))
}

func TestPageListsEveryField(t *testing.T) {
	b, err := os.ReadFile(apiPage)
	assert.NilError(t, err)
	fields := section(t, string(b), "Fields")
	for _, v := range []any{ibiswork.Request{}, ibiswork.Resources{}, ibiswork.Status{}, ibiswork.Answer{}, ibiswork.Refusal{}, Problem{}, Health{}} {
		typ := reflect.TypeOf(v)
		for i := range typ.NumField() {
			if f := typ.Field(i); !f.Anonymous {
				assert.Assert(t, strings.Contains(fields, "| `"+f.Name+"` |"), "%s.%s", typ, f.Name)
			}
		}
	}
}

func TestRetryAfterOfEveryCode(t *testing.T) {
	for _, c := range declaredCodes(t) {
		p := refusalReply(ibiswork.Refuse(c, "x"), "").body.(Problem)
		assert.Equal(t, p.RetryAfterMS, codeRules[c].RetryAfterMS, "%s", c)
		if HTTPStatus(c) == http.StatusServiceUnavailable {
			assert.Assert(t, p.RetryAfterMS > 0, "%s", c)
		}
	}
}
