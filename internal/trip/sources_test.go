package trip_test

import (
	"go/ast"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/source"
)

func TestInstancesReadAnswersOverTheseTransportsOnly(t *testing.T) {
	// Guards against the next place that reads answers: a transport of its own takes the end of a reset connection for that of an answer, a broken head for
	// one, and holds 10 MB of a head without end. What is allowed are programs that are no instance, and what serves or reads no answers.
	allowed := []string{
		"internal/trip", "internal/oper", "internal/load", "internal/bench", "internal/proof", "internal/fleet", "internal/stand", "internal/slope", "internal/cmds/demo.go",
		// What puts entries on the list are stand-ins and deployment tools.
		"internal/plat/put.go",
	}
	found := 0
	check := func(path string, node ast.Node) {
		sel, ok := node.(*ast.SelectorExpr)
		if !ok {
			return
		}
		of, ok := sel.X.(*ast.Ident)
		if !ok || of.Name != "http" {
			return
		}
		switch sel.Sel.Name {
		case "DefaultTransport", "DefaultClient", "Get", "Head", "Post", "PostForm", "ReadResponse":
		default:
			return
		}
		found++
		assert.Check(t, isAllowed(path, allowed), "%s uses http.%s", path, sel.Sel.Name)
	}
	for _, dir := range []string{"../../internal", "../../platform", "../../pkg"} {
		assert.NilError(t, source.Walk(dir, func(path string, node ast.Node) {
			check(path, node)
			literal, ok := node.(*ast.CompositeLit)
			if !ok {
				return
			}
			if sel, ok := literal.Type.(*ast.SelectorExpr); ok && (sel.Sel.Name == "Transport" || sel.Sel.Name == "Client") {
				if of, ok := sel.X.(*ast.Ident); ok && of.Name == "http" && (sel.Sel.Name == "Transport" || len(literal.Elts) == 0 || !hasTransport(literal)) {
					found++
					assert.Check(t, isAllowed(path, allowed), "%s makes an http.%s", path, sel.Sel.Name)
				}
			}
		}))
	}
	assert.Assert(t, found > 0)
}

// hasTransport reports whether the literal of an http.Client names its transport.
func hasTransport(literal *ast.CompositeLit) bool {
	for _, element := range literal.Elts {
		if pair, ok := element.(*ast.KeyValueExpr); ok {
			if key, ok := pair.Key.(*ast.Ident); ok && key.Name == "Transport" {
				return true
			}
		}
	}
	return false
}

func isAllowed(path string, allowed []string) bool {
	slashed := filepath.ToSlash(path)
	for _, part := range allowed {
		if strings.Contains(slashed, part+"/") || strings.HasSuffix(slashed, part) {
			return true
		}
	}
	return false
}
