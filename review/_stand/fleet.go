package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Settings of the small deployments: ConfigMs, RevokeMs and GraceS of their sheets.
const (
	configMs = 2000
	revokeMs = 5000
	graceS   = 8
)

// machine is one machine of the system: a process of the project with its own links to the store and to the other machines.
type machine struct {
	name    string
	zone    string
	front   string
	ready   string
	peer    string
	metrics string
	// store is the machine's link to the store, inbound the link from all other machines to it.
	store   *link
	inbound *link
	cmd     *exec.Cmd
	ended   chan struct{}
}

// fleet is a small deployment: a store, replicas and machines.
type fleet struct {
	store    *store
	machines []*machine
	record   *recorder
	dir      string
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) *recorder {
	file, err := os.Create(path)
	check(err)
	return &recorder{file: file, start: time.Now()}
}

func (rec *recorder) line(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(rec.file, "%9.3f s  %s\n", time.Since(rec.start).Seconds(), fmt.Sprintf(format, args...))
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// freeAddress returns a loopback address whose port is free for TCP and UDP. It lies below the ports that the system gives to connections,
// so that none of these takes it before the process listens there.
func freeAddress(ip string) string {
	for {
		address := fmt.Sprintf("%s:%d", ip, 12000+rand.IntN(18000))
		if taken[address] {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		udp, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err != nil {
			continue
		}
		_ = udp.Close()
		taken[address] = true
		return address
	}
}

// taken holds the addresses that freeAddress has returned.
var taken = map[string]bool{}

func serveHTTP(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String()
}

// newFleet prepares machines in three zones. start starts their processes. Each machine has an IP address of its own, by which the links
// know it, and the store keeps the addresses of the links instead of those of the machines.
func newFleet(rec *recorder, sto *store, count int) *fleet {
	dir, err := os.MkdirTemp("", "review")
	check(err)
	fl := &fleet{store: sto, record: rec, dir: dir}
	for i := range count {
		fl.machines = append(fl.machines, &machine{
			name: fmt.Sprintf("edge-%d", i+1), zone: string(rune('a' + i%3)),
			front: freeAddress("127.0.0.1"), ready: freeAddress("127.0.0.1"), peer: freeAddress(fmt.Sprintf("127.0.0.%d", 11+i)), metrics: freeAddress("127.0.0.1"),
		})
	}
	for _, mc := range fl.machines {
		mc.inbound = newLink(mc.peer, fl.isCutOff)
		mc.store = newLink(serveHTTP(sto.handler(fl.behindLinks)), nil)
	}
	return fl
}

// isCutOff reports whether the machine with the IP address is partitioned from the others.
func (fl *fleet) isCutOff(ip string) bool {
	for _, mc := range fl.machines {
		if strings.HasPrefix(mc.peer, ip+":") {
			return mc.inbound.cut.Load()
		}
	}
	return false
}

// behindLinks replaces the address in a machine's entry by that of the link to it.
func (fl *fleet) behindLinks(key string, value []byte) []byte {
	for _, mc := range fl.machines {
		if key != "dandelionsail/peers/"+mc.name {
			continue
		}
		var entry map[string]any
		check(json.Unmarshal(value, &entry))
		entry["Address"] = mc.inbound.address
		raw, err := json.Marshal(entry)
		check(err)
		return raw
	}
	return value
}

// cut partitions the machine from the store and from all other machines, in both directions, or heals the partition.
func (fl *fleet) cut(mc *machine, cut bool) {
	mc.store.cut.Store(cut)
	mc.inbound.cut.Store(cut)
}

// program returns the path of the program that the deploy file builds.
func program() string {
	root := os.Getenv("ROOT")
	if root == "" {
		fmt.Fprintln(os.Stderr, "ROOT is not set; start the script run.sh")
		os.Exit(2)
	}
	return filepath.Join(root, "target", "dandelionsail")
}

// start starts the process of the machine with the command and the environment of the deploy file.
func (fl *fleet) start(mc *machine) {
	logFile, err := os.OpenFile(filepath.Join(fl.dir, mc.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	cmd := exec.Command(program(), "relay")
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"),
		"DANDELIONSAIL_NAME=" + mc.name, "DANDELIONSAIL_FAILURE_DOMAIN=" + mc.zone, "DANDELIONSAIL_LISTEN=" + mc.front,
		"DANDELIONSAIL_READY_LISTEN=" + mc.ready, "DANDELIONSAIL_PEER_LISTEN=" + mc.peer, "DANDELIONSAIL_METRICS_LISTEN=" + mc.metrics,
		"DANDELIONSAIL_STORE=" + mc.store.address, fmt.Sprintf("DANDELIONSAIL_GRACE=%ds", graceS), fmt.Sprintf("DANDELIONSAIL_TOKEN_LIFE=%dms", revokeMs),
		fmt.Sprintf("DANDELIONSAIL_CONFIG_LAG=%dms", configMs), "DANDELIONSAIL_BUDGET_RATIO=0.2", "DANDELIONSAIL_BUDGET_SLACK=106", "DANDELIONSAIL_BUDGET_WINDOW=10s",
	}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	ended := make(chan struct{})
	mc.cmd, mc.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		_ = logFile.Close()
		close(ended)
	}()
	fl.record.line("start %s: front %s, process %d", mc.name, mc.front, cmd.Process.Pid)
}

// signal sends a signal to the process of the machine.
func (fl *fleet) signal(mc *machine, sig syscall.Signal) {
	fl.record.line("signal %v to %s", sig, mc.name)
	_ = mc.cmd.Process.Signal(sig)
}

// isReady asks the machine whether it is ready, as the platform does.
func (mc *machine) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + mc.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready, and ends the script with 2 if they are not in time.
func (fl *fleet) awaitReady(limit time.Duration) {
	until := time.Now().Add(limit)
	for _, mc := range fl.machines {
		for !mc.isReady() {
			if time.Now().After(until) {
				fl.record.line("%s is not ready in time; the case cannot run", mc.name)
				fl.stop()
				os.Exit(2)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	fl.record.line("all machines are ready")
}

// stop ends all processes.
func (fl *fleet) stop() {
	for _, mc := range fl.machines {
		if mc.cmd != nil {
			_ = mc.cmd.Process.Signal(syscall.SIGCONT)
			_ = mc.cmd.Process.Kill()
			<-mc.ended
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(fl.dir)
	}
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (an answer) String() string {
	if an.err != nil {
		return fmt.Sprintf("no answer (%v)", an.err)
	}
	return fmt.Sprintf("%d, signature %q, %d bytes", an.status, an.header.Get("X-Response-Seal"), len(an.body))
}

// send sends one request on a new connection as a client does.
func send(mc *machine, method, host, path, id, key, body string, deadline time.Duration) answer {
	req, err := http.NewRequest(method, "http://"+mc.front+path, strings.NewReader(body))
	check(err)
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err}
}
