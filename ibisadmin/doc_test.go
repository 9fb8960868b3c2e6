package ibisadmin

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"ibiscrank/ibisconfig"
)

// operatorsSection returns the section of docs/API.md about operators.
func operatorsSection(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile("../docs/API.md")
	assert.NilError(t, err)
	_, body, ok := strings.Cut(string(b), "\n## Operators\n")
	assert.Assert(t, ok)
	body, _, _ = strings.Cut(body, "\n## ")
	return body
}

func TestAPIDocListsEveryOperatorRoute(t *testing.T) {
	text := operatorsSection(t)
	served := map[string]bool{"`GET /v1/metrics`": true} // by ibisdaemon
	assert.NilError(t, newTestEnv(t).router.Walk(func(route *mux.Route, _ *mux.Router, _ []*mux.Route) error {
		methods, err := route.GetMethods()
		if err != nil {
			return nil // a prefix of a subrouter
		}
		path, err := route.GetPathTemplate()
		assert.NilError(t, err)
		for _, m := range methods {
			name := "`" + m + " " + path + "`"
			served[name] = true
			assert.Assert(t, strings.Contains(text, name), name)
		}
		return nil
	}))
	for _, part := range strings.Split(text, "`") {
		method, path, _ := strings.Cut(part, " ")
		if strings.HasPrefix(path, "/") && strings.ToUpper(method) == method {
			assert.Assert(t, served["`"+part+"`"], "%s is not served", part)
		}
	}
}

func TestAPIDocListsEveryChangeField(t *testing.T) {
	text := operatorsSection(t)
	for _, v := range []any{ChangeRequest{}, ChangeReply{}, ibisconfig.Result{}} {
		typ := reflect.TypeOf(v)
		for i := range typ.NumField() {
			if f := typ.Field(i); !f.Anonymous {
				assert.Assert(t, strings.Contains(text, "| `"+f.Name+"` |"), "%s.%s", typ, f.Name)
			}
		}
	}
}
