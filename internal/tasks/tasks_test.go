package tasks_test

import (
	"bytes"
	"context"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	stdlog "log"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/source"
	"dandelionsail.example/dandelionsail/internal/tasks"
)

// newMonitor returns a monitor that logs to out and counts in counts.
func newMonitor(out *bytes.Buffer, counts map[string]int) *tasks.Monitor {
	logger := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: out}}
	return tasks.NewMonitor(logger, func(counter string) { counts[counter]++ })
}

func TestFailedPartRunsAgain(t *testing.T) {
	// Guards against a process that serves nobody any more since one of its parts has failed or panicked: the first error ended the context
	// of all parts, and a panic ended the process at once.
	cases := map[string]struct {
		fail func() error
		// counter counts the failures.
		counter string
	}{
		"error": {func() error { return errors.New("no") }, "Parts.Failed.part"},
		"panic": {func() error { panic("no") }, "Panics.Count.part"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var out bytes.Buffer
				counts := map[string]int{}
				mo := newMonitor(&out, counts)
				tasks.CatchPanics(mo)
				defer tasks.CatchPanics(nil)
				ctx, cancel := context.WithCancel(t.Context())
				var runs atomic.Int64
				served := false
				mo.Start(ctx, "part", func(ctx context.Context) error {
					if runs.Add(1) <= 3 {
						return tc.fail()
					}
					<-ctx.Done()
					return ctx.Err()
				})
				mo.Start(ctx, "other", func(ctx context.Context) error {
					<-ctx.Done()
					served = runs.Load() == 4
					return ctx.Err()
				})
				time.Sleep(time.Minute)
				cancel()
				mo.Wait(time.Second)
				assert.Assert(t, served, "the other part did not outlive the failures")
				assert.Equal(t, counts[tc.counter], 3)
				assert.Equal(t, strings.Count(out.String(), `"message":"part failed"`), 3)
			})
		})
	}
}

func TestPartThatDoesNotEndIsNotWaitedFor(t *testing.T) {
	// Guards against a process that outlives its grace period and is killed with what it holds, since one of its parts does not end.
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		mo := newMonitor(&out, map[string]int{})
		release := make(chan struct{})
		mo.Start(t.Context(), "stuck", func(context.Context) error {
			<-release
			return nil
		})
		start := time.Now()
		mo.Wait(50 * time.Millisecond)
		assert.Equal(t, time.Since(start), 50*time.Millisecond)
		assert.Assert(t, strings.Contains(out.String(), `"Parts":["stuck"]`), out.String())
		close(release)
	})
}

func TestPanicIsLoggedWithItsStack(t *testing.T) {
	// Guards against a panic that is caught and can't be found any more, and one that tests don't see: only serving programs catch them.
	var out bytes.Buffer
	func() {
		defer func() { assert.Equal(t, recover(), "unseen") }()
		tasks.Guard("work", func() { panic("unseen") })()
	}()
	counts := map[string]int{}
	tasks.CatchPanics(newMonitor(&out, counts))
	defer tasks.CatchPanics(nil)
	tasks.Guard("work", func() { panic("seen") })()
	assert.Equal(t, counts["Panics.Count.work"], 1)
	for _, part := range []string{`"Part":"work"`, `"Panic":"seen"`, "TestPanicIsLoggedWithItsStack", `"message":"panic caught"`} {
		assert.Assert(t, strings.Contains(out.String(), part), "no %s in %s", part, out.String())
	}
	assert.ErrorContains(t, tasks.GuardError("work", func() error { panic("odd") })(), "work panicked: odd")
}

func TestPanicOfRequestIsLoggedWithItsStack(t *testing.T) {
	// Guards against a panic in a request whose stack is cut off after a few characters, and that no counter shows. net/http recovers it.
	var out bytes.Buffer
	counts := map[string]int{}
	logger := stdlog.New(newMonitor(&out, counts).LibraryLog(), "", 0)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("odd") }))
	server.Config.ErrorLog = logger
	server.Start()
	_, err := server.Client().Get(server.URL)
	assert.Assert(t, err != nil)
	server.Close()
	logger.Print(strings.Repeat("x", 1000))
	assert.Equal(t, counts["Panics.Count.request"], 1)
	for _, part := range []string{`"message":"panic caught"`, ": odd", "TestPanicOfRequestIsLoggedWithItsStack", `"Library":"` + strings.Repeat("x", 120) + `"`} {
		assert.Assert(t, strings.Contains(out.String(), part), "no %s in %s", part, out.String())
	}
}

// module is the path of this module.
const module = "dandelionsail.example/dandelionsail/"

// servingPackages returns the directories of the packages that a serving program consists of, below root.
func servingPackages(t *testing.T, root string) map[string]bool {
	found := map[string]bool{}
	next := []string{"internal/relay", "internal/entry", "platform"}
	for len(next) > 0 {
		dir := next[0]
		next = next[1:]
		if found[filepath.Join(root, dir)] {
			continue
		}
		found[filepath.Join(root, dir)] = true
		paths, err := filepath.Glob(filepath.Join(root, dir, "*.go"))
		assert.NilError(t, err)
		for _, path := range paths {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			assert.NilError(t, err)
			for _, spec := range file.Imports {
				if imported, own := strings.CutPrefix(strings.Trim(spec.Path.Value, `"`), module); own {
					next = append(next, imported)
				}
			}
		}
	}
	return found
}

func TestGoroutinesAreGuarded(t *testing.T) {
	// Guards against the next goroutine or timer whose panic ends the process, and the next group whose first error ends all of its parts: in
	// the packages that serve, each function that is handed to a go statement, to a method Go or to an AfterFunc is one that
	// tasks.Guard or tasks.GuardError returns. Package sigs, which imports nothing of this module, is not among them; its goroutine only
	// waits for a signal.
	root, err := filepath.Abs("../..")
	assert.NilError(t, err)
	serving, checked := servingPackages(t, root), 0
	err = source.Walk(root, func(path string, node ast.Node) {
		if !serving[filepath.Dir(path)] {
			return
		}
		var started ast.Expr
		switch node := node.(type) {
		case *ast.GoStmt:
			started = node.Call.Fun
		case *ast.CallExpr:
			if sel, ok := node.Fun.(*ast.SelectorExpr); ok && (sel.Sel.Name == "Go" || sel.Sel.Name == "TryGo" || sel.Sel.Name == "AfterFunc") && len(node.Args) > 0 {
				started = node.Args[len(node.Args)-1]
			}
		}
		if started == nil {
			return
		}
		checked++
		assert.Check(t, isGuarded(started), "%s starts a goroutine without tasks.Guard", path)
	})
	assert.NilError(t, err)
	assert.Assert(t, checked > 30, "only %d places found", checked)
}

// isGuarded reports whether the function is one that tasks.Guard or tasks.GuardError returns.
func isGuarded(fn ast.Expr) bool {
	call, ok := fn.(*ast.CallExpr)
	if !ok {
		return false
	}
	switch guard := call.Fun.(type) {
	case *ast.SelectorExpr:
		pkg, ok := guard.X.(*ast.Ident)
		return ok && pkg.Name == "tasks" && (guard.Sel.Name == "Guard" || guard.Sel.Name == "GuardError")
	case *ast.Ident:
		// In package tasks itself.
		return guard.Name == "Guard"
	}
	return false
}
