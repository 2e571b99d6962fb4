// Package fleet starts and stops processes for tests and experiments: entry instances, and stand-ins for the external
// systems. The product itself starts no processes.
package fleet

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"dandelionsail.example/dandelionsail/internal/certs"
	"dandelionsail.example/dandelionsail/internal/plat"
	"dandelionsail.example/dandelionsail/internal/sigs"
)

// programVariable is the environment variable that selects the program which a re-executed binary runs.
const programVariable = "DANDELIONSAIL_PROGRAM"

// Programs of a fleet.
const (
	ProgramProduct = "dandelionsail"
	ProgramBench   = "sailbench"
)

// Dispatch runs the program that the environment selects and exits, or returns if it selects none. A binary that starts
// fleets calls it first, so that every process of a fleet is the same build as its test.
func Dispatch(programs map[string]func(args []string) int) {
	run, ok := programs[os.Getenv(programVariable)]
	if ok {
		os.Exit(run(os.Args[1:]))
	}
	// SIGINT and SIGTERM end the test itself; package sigs handles them for the programs.
	sigs.Restore()
}

// startTimeout is the time within which a new process must print its address.
const startTimeout = 20 * time.Second

// Process is one process of a fleet.
type Process struct {
	Name    string
	Address string
	// Peer is the peer address that an entry instance prints second. It is empty for other processes.
	Peer  string
	cmd   *exec.Cmd
	ended chan error
}

// Fleet is a set of processes that Close ends.
type Fleet struct {
	// Executable is the file that the processes run, empty for that of this process.
	Executable string
	// Logs receives the standard error of the processes; nil discards it.
	Logs      io.Writer
	Platform  *Process
	mu        sync.Mutex
	processes []*Process
	// authority signs the instances' certificates.
	authority *certs.Authority
	// keyDir is the directory of the instances' certificates and keys.
	keyDir string
}

// Command returns a program with the arguments that has not started, for tests which need its descriptors or its first
// moments. Its owner waits for its end.
func (fl *Fleet) Command(program string, args ...string) (*exec.Cmd, error) {
	executable := fl.Executable
	if executable == "" {
		var err error
		if executable, err = os.Executable(); err != nil {
			return nil, err
		}
	}
	cmd := exec.Command(executable, args...)
	cmd.Env = append(os.Environ(), programVariable+"="+program)
	// The kernel kills the process when its parent dies, so that it does not outlive the test that started it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd, nil
}

// Start runs a program with the arguments and waits for its first line of output, which holds its addresses.
func (fl *Fleet) Start(program, name string, args ...string) (*Process, error) {
	cmd, err := fl.Command(program, args...)
	if err != nil {
		return nil, err
	}
	pr := &Process{Name: name, cmd: cmd, ended: make(chan error, 1)}
	pr.cmd.Stderr = fl.Logs
	out, err := pr.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := pr.cmd.Start(); err != nil {
		return nil, err
	}
	fl.mu.Lock()
	fl.processes = append(fl.processes, pr)
	fl.mu.Unlock()
	lines := bufio.NewReader(out)
	line, err := firstLine(lines)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("fleet: %s %s printed no address", program, name), err, pr.Kill())
	}
	go func() {
		_, _ = io.Copy(io.Discard, lines)
		pr.ended <- pr.cmd.Wait()
	}()
	pr.Address, pr.Peer, _ = strings.Cut(line, " ")
	return pr, nil
}

func firstLine(lines *bufio.Reader) (string, error) {
	type lineResult struct {
		line string
		err  error
	}
	got := make(chan lineResult, 1)
	go func() {
		line, err := lines.ReadString('\n')
		got <- lineResult{strings.TrimSpace(line), err}
	}()
	select {
	case res := <-got:
		return res.line, res.err
	case <-time.After(startTimeout):
		return "", context.DeadlineExceeded
	}
}

// StartPlatform starts the platform stand-in.
func (fl *Fleet) StartPlatform(args ...string) error {
	pr, err := fl.Start(ProgramBench, "platform", append([]string{"standin", "platform"}, args...)...)
	fl.Platform = pr
	return err
}

// StartEngine starts a model engine that the platform lists.
func (fl *Fleet) StartEngine(name, service, domain string, args ...string) (*Process, error) {
	return fl.startReplica("engine", name, service, domain, args)
}

// StartService starts a plain service that the platform lists.
func (fl *Fleet) StartService(name, service, domain string, args ...string) (*Process, error) {
	return fl.startReplica("service", name, service, domain, args)
}

func (fl *Fleet) startReplica(kind, name, service, domain string, args []string) (*Process, error) {
	all := []string{
		"standin", kind, "--name", name, "--service", service, "--failure-domain", domain, "--platform", fl.Platform.Address,
	}
	return fl.Start(ProgramBench, name, append(all, args...)...)
}

// StartEntry starts an entry instance and adds it to the platform's list.
func (fl *Fleet) StartEntry(name, domain string, args ...string) (*Process, error) {
	all := []string{
		"entry", "--name", name, "--failure-domain", domain, "--listen", "127.0.0.1:0",
		"--platform", fl.Platform.Address, "--store", fl.Platform.Address,
	}
	keys, err := fl.issueKeys(name)
	if err != nil {
		return nil, err
	}
	all = append(all, "--peer-listen", "127.0.0.1:0", "--peer-ca", keys.CA, "--peer-cert", keys.Certificate, "--peer-key", keys.Key)
	pr, err := fl.Start(ProgramProduct, name, append(all, args...)...)
	if err != nil {
		return nil, err
	}
	return pr, plat.Put(fl.Platform.Address, plat.Entry{
		Name: name, Service: plat.ServiceEntry, Address: pr.Address, Peer: pr.Peer, FailureDomain: domain, State: plat.StateLive,
	})
}

// issueKeys writes the certificate and key of an instance to files.
func (fl *Fleet) issueKeys(name string) (certs.Files, error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.authority == nil {
		authority, err := certs.New()
		if err != nil {
			return certs.Files{}, err
		}
		if fl.keyDir, err = os.MkdirTemp("", "dandelionsail-keys-"); err != nil {
			return certs.Files{}, err
		}
		fl.authority = authority
	}
	return fl.authority.Write(fl.keyDir, name)
}

// WaitReady waits until the entry instance at the address is ready. The error quotes its last readiness answer.
func WaitReady(ctx context.Context, address string) error {
	last := "no answer"
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil && resp.StatusCode == http.StatusOK {
			return resp.Body.Close()
		}
		if err == nil {
			body, _ := io.ReadAll(io.LimitReader(resp.Body, maxReadyBody))
			_ = resp.Body.Close()
			last = fmt.Sprintf("%s: %s", resp.Status, strings.TrimSpace(string(body)))
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("fleet: %s did not become ready, last answer %q: %w", address, last, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// maxReadyBody is the maximum number of bytes that are quoted from the answer of an instance that is not ready.
const maxReadyBody = 1 << 10

// Kill ends the process immediately.
func (pr *Process) Kill() error {
	return pr.signal(syscall.SIGKILL)
}

// Pause stops the process until Resume, and returns when all its threads stand still. On a busy machine some go on for
// milliseconds after the signal was sent, and could still take a request that a test sends next.
func (pr *Process) Pause() error {
	if err := pr.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for pr.isRunning() {
		time.Sleep(time.Millisecond)
	}
	return nil
}

// isRunning reports whether any thread of the process is neither stopped nor ended.
func (pr *Process) isRunning() bool {
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pr.cmd.Process.Pid))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		// The state follows the name of the program in parentheses.
		_, after, found := strings.Cut(string(text), ") ")
		if err == nil && found && !strings.ContainsRune("TtZXx", rune(after[0])) {
			return true
		}
	}
	return false
}

// Resume continues a paused process.
func (pr *Process) Resume() error {
	return pr.signal(syscall.SIGCONT)
}

// Terminate asks the process to stop gracefully.
func (pr *Process) Terminate() error {
	return pr.signal(syscall.SIGTERM)
}

// Dump makes the process write the stacks of all its goroutines to its log and exit.
func (pr *Process) Dump() error {
	return pr.signal(syscall.SIGQUIT)
}

// Hangup asks the process to reload its settings.
func (pr *Process) Hangup() error {
	return pr.signal(syscall.SIGHUP)
}

// signal sends a signal to the process. It ignores a process that has ended, since two faults may kill the same one.
func (pr *Process) signal(sig syscall.Signal) error {
	err := pr.cmd.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Wait waits for the end of the process or of the context. The error holds the exit status unless it is 0.
func (pr *Process) Wait(ctx context.Context) error {
	select {
	case err := <-pr.ended:
		pr.ended <- err
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ProcessID returns the operating system's id of the process.
func (pr *Process) ProcessID() int {
	return pr.cmd.Process.Pid
}

// Close ends all processes.
func (fl *Fleet) Close() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, pr := range fl.processes {
		_ = pr.Kill()
	}
	for _, pr := range fl.processes {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_ = pr.Wait(ctx)
		cancel()
	}
	if fl.keyDir != "" {
		_ = os.RemoveAll(fl.keyDir)
	}
}
