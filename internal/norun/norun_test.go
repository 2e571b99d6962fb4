package norun_test

import (
	"go/ast"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/norun"
	"dandelionsail.example/dandelionsail/internal/source"
)

func TestOnlyTheRefusalOfThisRequestIsAProof(t *testing.T) {
	// Guards against a request that runs twice after an answer that is not the replica's refusal of this request.
	cases := map[string]struct {
		answer norun.Answer
		proof  norun.Proof
	}{
		"named":                {norun.Answer{Refusal: true, Request: "r", Named: "r"}, norun.Refused},
		"named, kept":          {norun.Answer{Refusal: true, Request: "r", Named: "r", Kept: true}, norun.Refused},
		"unnamed":              {norun.Answer{Refusal: true, Request: "r"}, norun.Refused},
		"unnamed, kept":        {norun.Answer{Refusal: true, Request: "r", Kept: true}, norun.None},
		"another":              {norun.Answer{Refusal: true, Request: "r", Named: "s"}, norun.None},
		"no ID":                {norun.Answer{Refusal: true}, norun.Refused},
		"no ID, kept":          {norun.Answer{Refusal: true, Kept: true}, norun.None},
		"named, there before":  {norun.Answer{Refusal: true, Request: "r", Named: "r", Early: true}, norun.None},
		"named, not a refusal": {norun.Answer{Request: "r", Named: "r"}, norun.None},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, norun.OfAnswer(tc.answer), tc.proof) })
	}
}

func TestProofsAreMadeHereOnly(t *testing.T) {
	// Guards against a place that decides by itself that a request has not run.
	root, err := filepath.Abs("../..")
	assert.NilError(t, err)
	err = source.Walk(root, func(path string, node ast.Node) {
		sel, ok := node.(*ast.SelectorExpr)
		if !ok || strings.Contains(path, filepath.Join("internal", "norun")) {
			return
		}
		if pkg, ok := sel.X.(*ast.Ident); ok && pkg.Name == "norun" {
			made := map[string]bool{"Unwritten": true, "Refused": true, "Stated": true}[sel.Sel.Name]
			assert.Check(t, !made, "%s makes the proof %s", path, sel.Sel.Name)
		}
	})
	assert.NilError(t, err)
}
