package main

import (
	"fmt"
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

// program is the product as the deploy file builds it.
const program = "target/dandelionsail"

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(dir string) *record {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	check(err)
	return &record{file: file, began: time.Now()}
}

// line writes a line with the time since the start.
func (rec *record) line(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(rec.file, "%8.3f  %s\n", time.Since(rec.began).Seconds(), fmt.Sprintf(format, args...))
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		stopAll()
		os.Exit(2)
	}
}

// node is one process of the product.
type node struct {
	name, front, ready, peer string
	env                      []string
	cmd                      *exec.Cmd
	ended                    chan struct{}
}

var (
	nodesMu sync.Mutex
	nodes   []*node
)

const (
	// firstPort is below the ports that the system gives to outgoing connections.
	firstPort = 10000
	// portsEach is the number of ports of one run, so that runs at the same time seldom meet.
	portsEach = 200
)

// portsTried is how many ports freePort has tried.
var portsTried int

// freePort returns a port of 127.0.0.1 that is free for TCP and UDP.
func freePort() int {
	for {
		port := firstPort + os.Getpid()%100*portsEach + portsTried%portsEach
		portsTried++
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		packets, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = packets.Close()
		return port
	}
}

// startNode starts `dandelionsail relay` with the variables of deploy/system.toml and the bounds of ssvc-kolkata.
func startNode(number int, zone, storeAddress, tmp string) *node {
	address := func() string { return fmt.Sprintf("127.0.0.1:%d", freePort()) }
	nd := &node{name: fmt.Sprintf("edge-%s-%d", zone, number), front: address(), ready: address(), peer: address(), ended: make(chan struct{})}
	nd.env = []string{
		"PATH=" + os.Getenv("PATH"),
		"DANDELIONSAIL_NAME=" + nd.name,
		"DANDELIONSAIL_FAILURE_DOMAIN=" + zone,
		"DANDELIONSAIL_LISTEN=" + nd.front,
		"DANDELIONSAIL_READY_LISTEN=" + nd.ready,
		"DANDELIONSAIL_PEER_LISTEN=" + nd.peer,
		"DANDELIONSAIL_METRICS_LISTEN=" + address(),
		"DANDELIONSAIL_STORE=" + storeAddress,
		"DANDELIONSAIL_GRACE=8s",
		"DANDELIONSAIL_TOKEN_LIFE=5000ms",
		"DANDELIONSAIL_CONFIG_LAG=2000ms",
		"DANDELIONSAIL_BUDGET_RATIO=0.2",
		"DANDELIONSAIL_BUDGET_SLACK=106",
		"DANDELIONSAIL_BUDGET_WINDOW=10s",
	}
	nd.run(tmp)
	return nd
}

// run starts the node's process.
func (nd *node) run(tmp string) {
	log, err := os.OpenFile(filepath.Join(tmp, nd.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	nd.cmd = exec.Command(program, "relay")
	nd.cmd.Env = nd.env
	nd.cmd.Stdout, nd.cmd.Stderr = log, log
	nd.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(nd.cmd.Start())
	go func() {
		_ = nd.cmd.Wait()
		close(nd.ended)
	}()
	nodesMu.Lock()
	nodes = append(nodes, nd)
	nodesMu.Unlock()
}

// stopAll kills every process that was started.
func stopAll() {
	nodesMu.Lock()
	defer nodesMu.Unlock()
	for _, nd := range nodes {
		_ = nd.cmd.Process.Kill()
	}
	for _, nd := range nodes {
		<-nd.ended
	}
}

// isReady asks the node's readiness probe.
func (nd *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + nd.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func awaitReady(list []*node) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, nd := range list {
			all = all && nd.isReady()
		}
		if all {
			return
		}
	}
	check(fmt.Errorf("the nodes did not become ready"))
}

// rss returns the resident memory of the process in bytes.
func (nd *node) rss() int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", nd.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		var kib int64
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kib); err == nil {
			return kib << 10
		}
	}
	return 0
}
