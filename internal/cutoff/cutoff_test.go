package cutoff_test

import (
	"context"
	"errors"
	"go/ast"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/source"
)

func TestContextEndsWithItsProof(t *testing.T) {
	// Guards against an attempt whose end is put down to something else, so that its answer is repeated or given up wrongly.
	broken := errors.New("connection reset")
	cases := map[string]struct {
		timeout time.Duration
		end     func(leave context.CancelFunc, end cutoff.CancelFunc)
		proof   cutoff.Proof
		read    cutoff.Proof
	}{
		"goes on":               {time.Hour, func(context.CancelFunc, cutoff.CancelFunc) {}, cutoff.None, cutoff.Closed},
		"ended without a proof": {time.Hour, func(_ context.CancelFunc, end cutoff.CancelFunc) { end(cutoff.None) }, cutoff.None, cutoff.Closed},
		"another run granted":   {time.Hour, func(_ context.CancelFunc, end cutoff.CancelFunc) { end(cutoff.OfGrant(true)) }, cutoff.Resumed, cutoff.Resumed},
		"no other run":          {time.Hour, func(_ context.CancelFunc, end cutoff.CancelFunc) { end(cutoff.OfGrant(false)) }, cutoff.None, cutoff.Closed},
		"caller left":           {time.Hour, func(leave context.CancelFunc, _ cutoff.CancelFunc) { leave() }, cutoff.Left, cutoff.Left},
		"deadline":              {0, func(context.CancelFunc, cutoff.CancelFunc) {}, cutoff.Expired, cutoff.Expired},
		"granted, and caller left": {time.Hour, func(leave context.CancelFunc, end cutoff.CancelFunc) {
			end(cutoff.OfGrant(true))
			leave()
		}, cutoff.Resumed, cutoff.Resumed},
		"dead connection": {time.Hour, func(_ context.CancelFunc, end cutoff.CancelFunc) {
			end(cutoff.OfConnection(true, cutoff.MaxUnacknowledged))
		}, cutoff.Dead, cutoff.Dead},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			caller, leave := context.WithCancel(t.Context())
			defer leave()
			ctx, end, release := cutoff.Context(caller, time.Now().Add(tc.timeout))
			defer release()
			tc.end(leave, end)
			assert.Equal(t, cutoff.Of(ctx), tc.proof)
			assert.Equal(t, cutoff.OfRead(ctx, broken), tc.read)
		})
	}
}

func TestSilentConnectionIsNoProof(t *testing.T) {
	// Guards against a connection that counts as dead because nothing arrives on it: only data that the other end's operating system does not
	// acknowledge show that.
	cases := map[string]struct {
		unacknowledged bool
		since          time.Duration
		proof          cutoff.Proof
	}{
		"all acknowledged, long silent": {false, time.Hour, cutoff.None},
		"nothing acknowledged yet":      {true, cutoff.MaxUnacknowledged - time.Millisecond, cutoff.None},
		"nothing acknowledged for long": {true, cutoff.MaxUnacknowledged, cutoff.Dead},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, cutoff.OfConnection(tc.unacknowledged, tc.since), tc.proof) })
	}
	now := time.Now()
	assert.Equal(t, cutoff.OfStop(now, now.Add(time.Second)), cutoff.None)
	assert.Equal(t, cutoff.OfStop(now, now), cutoff.Stopped)
}

// ownContexts says why functions of the fronts may end a context by themselves.
var ownContexts = map[string]string{
	"relay/newDialer":        "a connection that is being opened has no answer",
	"relay/examine":          "a probe after the end of an attempt",
	"relay/renewal":          "the renewal of reservations",
	"relay/order":            "an order",
	"relay/serveDetour":      "the deadline that the sender of a message states",
	"relay/pollStore":        "a call to the store",
	"relay/recordQuarantine": "a call to the store",
	"relay/applyNextChanges": "a call to the store",
	"relay/readPage":         "a call to the store",
	"relay/fetchShared":      "a call to another instance",
	"relay/routingAt":        "a call to another instance",
	"relay/fetchLoad":        "a load query",
	"relay/serveAll":         "the parts of an instance, which end when all requests have",
	"relay/drain":            "the end of the grace period",
	"relay/answerOpen":       "the end of the grace period",

	"entry/handleUpstreamFailure": "a probe after the end of an attempt",
	"entry/freeSegments":          "a call that frees memory",
	"entry/drop":                  "a call that frees memory",
	"entry/claim":                 "a call to the store",
	"entry/recordOutcome":         "a call to the store",
	"entry/newForwarder":          "a connection that is being opened has no answer",
	"entry/forward":               "the request's deadline",
	"entry/sendQuarantine":        "a call to another instance",
	"entry/requestQuarantine":     "a call to another instance",
	"entry/updateReaders":         "the reading of an upstream's reports",
	"entry/readReports":           "the reading of an upstream's reports",
	"entry/readCacheEvents":       "the reading of an upstream's reports",
	"entry/Serve":                 "the parts of an instance, which end when all requests have",
	"entry/drain":                 "the end of the grace period",
	"relay/announce":              "the renewal of the own entry, and its removal",
}

// fronts are the packages whose goroutines carry answers to callers, and reducers those that decide on attempts.
var fronts, reducers = []string{"relay", "entry"}, []string{"steer", "core"}

func TestAnswersEndWithProofsOnly(t *testing.T) {
	// Guards against the next place that ends an answer under way by its own verdict: a timer, a probe or a cancelled context. An attempt's context
	// comes from Context and is cancelled with a proof, proofs are made here only, and an Abort carries one.
	root, err := filepath.Abs("../..")
	assert.NilError(t, err)
	function := ""
	err = source.Walk(root, func(path string, node ast.Node) {
		pkg := filepath.Base(filepath.Dir(path))
		if pkg == "cutoff" {
			return
		}
		switch node := node.(type) {
		case *ast.FuncDecl:
			function = pkg + "/" + node.Name.Name
		case *ast.SelectorExpr:
			if of, ok := node.X.(*ast.Ident); ok && of.Name == "cutoff" {
				made := slices.Contains([]string{"Closed", "Dead", "Malformed", "Expired", "Left", "Resumed", "Stopped"}, node.Sel.Name)
				assert.Check(t, !made, "%s makes the proof %s", path, node.Sel.Name)
			}
			if of, ok := node.X.(*ast.Ident); ok && of.Name == "context" && slices.Contains(fronts, pkg) && endsByItself(node.Sel.Name) {
				assert.Check(t, ownContexts[function] != "", "%s: %s cancels a context itself; use cutoff.Context if an answer depends on it", path, function)
			}
		case *ast.CompositeLit:
			assert.Check(t, !isAbort(node) || !slices.Contains(reducers, pkg) || hasProof(node), "%s: %s aborts an attempt without a proof", path, function)
		}
	})
	assert.NilError(t, err)
}

// endsByItself reports whether the function of package context returns a context that ends before its parent.
func endsByItself(function string) bool {
	return strings.HasPrefix(function, "WithCancel") || strings.HasPrefix(function, "WithDeadline") || strings.HasPrefix(function, "WithTimeout")
}

// isAbort reports whether the literal is an effect that ends an attempt.
func isAbort(lit *ast.CompositeLit) bool {
	switch of := lit.Type.(type) {
	case *ast.Ident:
		return of.Name == "Abort"
	case *ast.SelectorExpr:
		return of.Sel.Name == "Abort"
	}
	return false
}

func hasProof(lit *ast.CompositeLit) bool {
	return slices.ContainsFunc(lit.Elts, func(elt ast.Expr) bool {
		pair, ok := elt.(*ast.KeyValueExpr)
		if !ok {
			return false
		}
		key, ok := pair.Key.(*ast.Ident)
		return ok && key.Name == "Proof"
	})
}
