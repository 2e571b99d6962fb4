// Package fleet runs real processes for tests and experiments: entry instances and the stand-ins of the outside
// systems. The product itself starts no process.
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
	"strings"
	"sync"
	"syscall"
	"time"

	"dandelionsail.example/dandelionsail/internal/certs"
	"dandelionsail.example/dandelionsail/internal/plat"
)

// programVariable tells a re-executed binary which program to be.
const programVariable = "DANDELIONSAIL_PROGRAM"

// Programs of a fleet.
const (
	ProgramProduct = "dandelionsail"
	ProgramBench   = "sailbench"
)

// Dispatch runs the program that the environment names and exits, or returns if it names none. A binary that starts
// fleets calls it first, so that every process of a fleet is the same build as its test.
func Dispatch(programs map[string]func(args []string) int) {
	run, ok := programs[os.Getenv(programVariable)]
	if ok {
		os.Exit(run(os.Args[1:]))
	}
}

// startTime bounds the time in which a process must print its address.
const startTime = 20 * time.Second

// Process is one process of a fleet.
type Process struct {
	Name    string
	Address string
	// Peer is the second address that an entry instance prints, empty for others.
	Peer  string
	cmd   *exec.Cmd
	ended chan error
}

// Fleet is a set of processes that end with it.
type Fleet struct {
	// Logs takes what the processes write to standard error; nil drops it.
	Logs      io.Writer
	Platform  *Process
	mu        sync.Mutex
	processes []*Process
	// authority signs the instances' keys, which are files in keys.
	authority *certs.Authority
	keys      string
}

// Start runs one program with the arguments and waits for the line of addresses that it prints first.
func (fl *Fleet) Start(program, name string, args ...string) (*Process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	pr := &Process{Name: name, cmd: exec.Command(self, args...), ended: make(chan error, 1)}
	pr.cmd.Env = append(os.Environ(), programVariable+"="+program)
	pr.cmd.Stderr = fl.Logs
	// A process must not outlive the test that started it.
	pr.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
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
	type read struct {
		line string
		err  error
	}
	got := make(chan read, 1)
	go func() {
		line, err := lines.ReadString('\n')
		got <- read{strings.TrimSpace(line), err}
	}()
	select {
	case rd := <-got:
		return rd.line, rd.err
	case <-time.After(startTime):
		return "", context.DeadlineExceeded
	}
}

// StartPlatform runs the platform stand-in.
func (fl *Fleet) StartPlatform(args ...string) error {
	pr, err := fl.Start(ProgramBench, "platform", append([]string{"standin", "platform"}, args...)...)
	fl.Platform = pr
	return err
}

// StartEngine runs a model engine that the platform lists.
func (fl *Fleet) StartEngine(name, service, domain string, args ...string) (*Process, error) {
	return fl.startReplica("engine", name, service, domain, args)
}

// StartService runs a plain service that the platform lists.
func (fl *Fleet) StartService(name, service, domain string, args ...string) (*Process, error) {
	return fl.startReplica("service", name, service, domain, args)
}

func (fl *Fleet) startReplica(kind, name, service, domain string, args []string) (*Process, error) {
	all := []string{
		"standin", kind, "--name", name, "--service", service, "--failure-domain", domain, "--platform", fl.Platform.Address,
	}
	return fl.Start(ProgramBench, name, append(all, args...)...)
}

// StartEntry runs an entry instance and has the platform list it.
func (fl *Fleet) StartEntry(name, domain string, args ...string) (*Process, error) {
	all := []string{
		"entry", "--name", name, "--failure-domain", domain, "--listen", "127.0.0.1:0",
		"--platform", fl.Platform.Address, "--store", fl.Platform.Address,
	}
	keys, err := fl.issue(name)
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

// issue writes the keys of an instance.
func (fl *Fleet) issue(name string) (certs.Files, error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.authority == nil {
		authority, err := certs.New()
		if err != nil {
			return certs.Files{}, err
		}
		if fl.keys, err = os.MkdirTemp("", "dandelionsail-keys-"); err != nil {
			return certs.Files{}, err
		}
		fl.authority = authority
	}
	return fl.authority.Write(fl.keys, name)
}

// WaitReady waits until the entry instance at the address is ready. The error has what it said last.
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
			return fmt.Errorf("fleet: %s did not become ready, it said last %q: %w", address, last, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// maxReadyBody bounds what is quoted of an instance that is not ready.
const maxReadyBody = 1 << 10

// Kill ends the process at once.
func (pr *Process) Kill() error {
	return pr.signal(syscall.SIGKILL)
}

// Pause freezes the process until Resume.
func (pr *Process) Pause() error {
	return pr.signal(syscall.SIGSTOP)
}

// Resume lets a paused process go on.
func (pr *Process) Resume() error {
	return pr.signal(syscall.SIGCONT)
}

// Terminate asks the process to stop gracefully.
func (pr *Process) Terminate() error {
	return pr.signal(syscall.SIGTERM)
}

// Dump asks the process to write the stacks of all its goroutines to its log, and to end.
func (pr *Process) Dump() error {
	return pr.signal(syscall.SIGQUIT)
}

// Hangup asks the process to read its settings again.
func (pr *Process) Hangup() error {
	return pr.signal(syscall.SIGHUP)
}

// signal leaves a process alone that has ended, as it does when two faults meet it.
func (pr *Process) signal(sig syscall.Signal) error {
	err := pr.cmd.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Wait returns when the process has ended, with its exit status as the error.
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
	if fl.keys != "" {
		_ = os.RemoveAll(fl.keys)
	}
}
