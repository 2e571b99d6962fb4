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

// transcript returns the commands of the README's section, with the ports and files of the test in place of its own.
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
	// A new user types the README's commands one after the other.
	// A first version is accepted, a caller is answered, a doubled update runs once, a bad declaration ends with 2 and
	// a stale plan with 3, and the report is a page with plots.
	dir := t.TempDir()
	cmd := exec.CommandContext(t.Context(), "bash", "-c", transcript(t, dir))
	cmd.Dir = "../.."
	// The script starts processes of its own; they end with the group if it fails half-way.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	out, err := cmd.CombinedOutput()
	if err != nil {
		_ = cmd.Cancel()
	}
	said := string(out)
	assert.NilError(t, err, "%s", said)
	wanted := []string{
		"no problems", "accepted as version 1", "data: [DONE]", "+ /Organisations/cathedral", "+ /Services/psalm", `"id":"psalm"`, "accepted as version 2",
		`unknown field "Wight"`, "exit code 2", "exit code 3", "version 2 by on-call", "entry-0", "short-first-token",
	}
	for _, want := range wanted {
		assert.Assert(t, strings.Contains(said, want), "%q is not in:\n%s", want, said)
	}
	assert.Equal(t, strings.Count(said, `{"Ran":1,`), 2, fmt.Sprintf("the update ran more than once:\n%s", said))
	page, err := os.ReadFile(filepath.Join(dir, "report.html"))
	assert.NilError(t, err)
	assert.Assert(t, strings.Count(string(page), "<svg") >= 2)
}
