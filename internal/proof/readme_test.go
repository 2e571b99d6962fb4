package proof_test

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

var shellBlock = regexp.MustCompile("(?s)```sh\n(.*?)```")

// transcript returns the commands of the README's section as a script, with ports and files replaced by those of the test.
func transcript(t *testing.T, dir string) string {
	t.Helper()
	raw, err := os.ReadFile("../../README.md")
	assert.NilError(t, err)
	_, section, ok := strings.Cut(string(raw), "## A first configuration")
	assert.Assert(t, ok)
	section, _, _ = strings.Cut(section, "\n## ")
	script := "set -e\n"
	for _, block := range shellBlock.FindAllStringSubmatch(section, -1) {
		script += block[1]
	}
	replaced := strings.NewReplacer(
		"127.0.0.1:7100", freeAddress(t), "127.0.0.1:7101", freeAddress(t),
		"bin/", dir+"/bin/", "declarations", dir+"/declarations", "plan.json", dir+"/plan.json",
		"stale.json", dir+"/stale.json", "report.html", dir+"/report.html",
	)
	return replaced.Replace(script)
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func TestReadmeTranscript(t *testing.T) {
	// Guards against README commands that no longer work when run in order: a first version is accepted, a caller gets an
	// answer, a resent update runs once, an invalid declaration exits with 2 and a stale plan with 3, and the report is an
	// HTML page with plots.
	dir := t.TempDir()
	cmd := exec.CommandContext(t.Context(), "bash", "-c", transcript(t, dir))
	cmd.Dir = "../.."
	// The script starts processes. If it fails, killing its process group ends them.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	out, err := cmd.CombinedOutput()
	if err != nil {
		_ = cmd.Cancel()
	}
	output := string(out)
	assert.NilError(t, err, "%s", output)
	wanted := []string{
		"no problems", "accepted as version 1", "data: [DONE]", "+ /Organisations/cathedral", "+ /Services/psalm", `"id":"psalm"`, "accepted as version 2",
		`unknown field "Wight"`, "exit code 2", "exit code 3", "version 2 by on-call", "entry-0", "short-first-token",
	}
	for _, want := range wanted {
		assert.Assert(t, strings.Contains(output, want), "%q is not in:\n%s", want, output)
	}
	assert.Equal(t, strings.Count(output, `{"Ran":1,`), 2, fmt.Sprintf("the update ran more than once:\n%s", output))
	page, err := os.ReadFile(filepath.Join(dir, "report.html"))
	assert.NilError(t, err)
	assert.Assert(t, strings.Count(string(page), "<svg") >= 2)
}
