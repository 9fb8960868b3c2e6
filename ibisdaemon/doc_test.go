package ibisdaemon

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const operationsPage = "../docs/OPERATIONS.md"

// section returns the text under a second-level heading of the operations page.
func section(t *testing.T, heading string) string {
	t.Helper()
	b, err := os.ReadFile(operationsPage)
	assert.NilError(t, err)
	_, rest, ok := strings.Cut(string(b), "\n## "+heading+"\n")
	assert.Assert(t, ok, "no section %s", heading)
	body, _, _ := strings.Cut(rest, "\n## ")
	return body
}

// walkSources calls visit for every syntax node of the non-test files of the module's packages.
func walkSources(t *testing.T, visit func(dir string, n ast.Node)) {
	t.Helper()
	paths, err := filepath.Glob("../ibis*/*.go")
	assert.NilError(t, err)
	platformPaths, err := filepath.Glob("../platform/*.go")
	assert.NilError(t, err)
	paths = append(paths, platformPaths...)
	assert.Assert(t, len(paths) > 0)
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		assert.NilError(t, err)
		ast.Inspect(file, func(n ast.Node) bool { visit(filepath.Base(filepath.Dir(path)), n); return true })
	}
}

// lastName returns the name of a function or type without its qualifier, or "" when e is no name.
func lastName(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return e.Sel.Name
	}
	return ""
}

// stringLiterals returns the string literals in e, including the operands of a concatenation.
func stringLiterals(t *testing.T, e ast.Expr) (texts []string) {
	t.Helper()
	ast.Inspect(e, func(n ast.Node) bool {
		if lit, ok := n.(*ast.BasicLit); ok && lit.Kind == token.STRING {
			s, err := strconv.Unquote(lit.Value)
			assert.NilError(t, err)
			texts = append(texts, s)
		}
		return true
	})
	return texts
}

func TestPageListsEveryAlert(t *testing.T) {
	b, err := os.ReadFile("../ibisadmin/data/alerts.json")
	assert.NilError(t, err)
	var alerts []struct{ Name, Severity, Wrong, Do string }
	assert.NilError(t, json.Unmarshal(b, &alerts))
	text := section(t, "Alerts")
	for _, a := range alerts {
		row := fmt.Sprintf("\n| %s | %s | %s | %s |\n", a.Name, a.Severity, a.Wrong, a.Do)
		assert.Assert(t, strings.Contains(text, row), "missing or different: %s", row)
	}
	const headerRows = 2
	assert.Equal(t, strings.Count(text, "\n|"), len(alerts)+headerRows)
}

var (
	eventName = regexp.MustCompile(`^[A-Z][A-Za-z]+$`)
	eventRow  = regexp.MustCompile("(?m)^\\| `([A-Za-z]+)` \\| ([A-Za-z, ]+) \\| [^|]+ \\| [^|]+ \\|$")
)

func TestPageListsEveryLogEvent(t *testing.T) {
	events := make(map[string]map[string]bool) // name to levels
	walkSources(t, func(_ string, n ast.Node) {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) != 1 {
			return
		}
		level := lastName(call.Fun)
		lit, ok := call.Args[0].(*ast.BasicLit)
		if !ok || !strings.Contains(" Debug Info Warn Error Fatal ", " "+level+" ") {
			return
		}
		name := stringLiterals(t, lit)[0]
		assert.Assert(t, eventName.MatchString(name), "%q is not the name of an event", name)
		if events[name] == nil {
			events[name] = make(map[string]bool)
		}
		events[name][level] = true
	})
	assert.Assert(t, len(events) > 0)
	listed := make(map[string]map[string]bool)
	for _, m := range eventRow.FindAllStringSubmatch(section(t, "Log events"), -1) {
		listed[m[1]] = make(map[string]bool)
		for level := range strings.SplitSeq(m[2], ", ") {
			listed[m[1]][level] = true
		}
	}
	assert.DeepEqual(t, listed, events)
}

func TestPageListsEveryMetric(t *testing.T) {
	text := section(t, "Metrics")
	n := 0
	check := func(e ast.Expr) {
		for _, name := range stringLiterals(t, e) {
			n++
			assert.Assert(t, strings.Contains(text, "`"+name+"`"), "%s", name)
		}
	}
	walkSources(t, func(dir string, node ast.Node) {
		switch node := node.(type) {
		case *ast.CallExpr:
			name := lastName(node.Fun)
			isMetric := strings.HasPrefix(name, "GetOrRegister") || strings.HasPrefix(name, "NewRegistered") || name == "NewMeter"
			if isMetric && len(node.Args) > 0 {
				check(node.Args[0])
			}
			if dir == "ibisrpc" && name == "add" { // the meter of calls between daemons
				check(node.Args[1])
			}
		case *ast.CompositeLit:
			if lastName(node.Type) == "meter" && len(node.Elts) > 0 {
				check(node.Elts[0])
			}
		}
	})
	assert.Assert(t, n > 0)
}

func TestPageListsDaemonRoutes(t *testing.T) {
	page, err := os.ReadFile("../docs/API.md")
	assert.NilError(t, err)
	n := 0
	walkSources(t, func(dir string, node ast.Node) {
		if call, ok := node.(*ast.CallExpr); ok && dir == "ibisdaemon" && lastName(call.Fun) == "HandleFunc" {
			n++
			path := stringLiterals(t, call.Args[0])[0]
			assert.Assert(t, strings.Contains(string(page), " "+path+"`"), path)
		}
	})
	assert.Assert(t, n > 0)
}

func TestReadmeListsEveryPackageAndPage(t *testing.T) {
	readme, err := os.ReadFile("../README.md")
	assert.NilError(t, err)
	packages, err := filepath.Glob("../ibis*")
	assert.NilError(t, err)
	pages, err := filepath.Glob("../docs/*.md")
	assert.NilError(t, err)
	assert.Assert(t, len(packages) > 0 && len(pages) > 0)
	for _, dir := range packages {
		assert.Assert(t, strings.Contains(string(readme), "\n| `"+filepath.Base(dir)+"` | "), dir)
	}
	for _, path := range pages {
		assert.Assert(t, strings.Contains(string(readme), "](docs/"+filepath.Base(path)+")"), path)
	}
}
