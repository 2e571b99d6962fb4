//go:build cgo

package sigs_test

import (
	"os"
	"os/exec"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/sigs"
)

// restoresVariable tells a process of this test to restore the default actions and to send itself SIGHUP.
const restoresVariable = "DANDELIONSAIL_RESTORES"

func TestMain(m *testing.M) {
	if os.Getenv(restoresVariable) != "" {
		sigs.Restore()
		_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
		select {}
	}
	os.Exit(m.Run())
}

func TestHangupEndsCommandsThatDoNotServe(t *testing.T) {
	// Guards against commands that outlive their terminal: SIGHUP is ignored before the runtime starts, and the runtime keeps what was ignored then.
	executable, err := os.Executable()
	assert.NilError(t, err)
	cmd := exec.CommandContext(t.Context(), executable)
	cmd.Env = append(os.Environ(), restoresVariable+"=1")
	err = cmd.Run()
	assert.ErrorContains(t, err, "signal: hangup")
}
