package store

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/tasks"
	"dandelionsail.example/dandelionsail/internal/trip"
)

const (
	// dialTimeout bounds the time to connect to the service.
	dialTimeout = time.Second
	// callTimeout bounds a call, or the opening of a watch, that the service does not answer.
	callTimeout = 3 * time.Second
	// watchBuffer is how many changes are buffered for a slow reader before the watch stops reading from the service.
	watchBuffer = 64
	// maxResponseBytes bounds the length of one response, far above the longest List that this system requests.
	maxResponseBytes = 64 << 20
	// maxWatchLineBytes bounds one message of a watch: a batch of patches, each shorter than MaxValue, in base64.
	maxWatchLineBytes = 32 << 20
	// keepAliveIdle is how long a connection is idle before TCP keep-alive probes are sent.
	keepAliveIdle = 5 * time.Second
)

// Error codes in the body of an error response, as the JSON form of the service's published protocol defines them.
const (
	codeNotFound          = 5
	codeResourceExhausted = 8
)

// Client implements Store over the etcd version 3 JSON protocol, the published protocol of the platform's service.
type Client struct {
	Protocol
	transport *transport
}

// transport makes the calls of the protocol over HTTP.
type transport struct {
	base string
	http *http.Client
}

// New returns a client of the service at the address, given as host:port.
func New(address string) *Client {
	// A watch may have no traffic for hours. Without keep-alives, a connection that some device on the path has silently
	// dropped would look like a store in which nothing changes.
	keepAlive := net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: 3}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	connections := trip.NewTransport(dialer.DialContext)
	connections.MaxIdleConnsPerHost, connections.IdleConnTimeout = 16, 30*time.Second
	// Redirects are not followed, because that would send a write twice.
	noRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	tr := &transport{base: "http://" + address, http: &http.Client{Transport: trip.Client{Transport: connections}, CheckRedirect: noRedirects}}
	return &Client{Protocol: Protocol{Calls: tr}, transport: tr}
}

// Close closes idle connections.
func (cl *Client) Close() {
	cl.transport.http.CloseIdleConnections()
}

// Range implements Calls.
func (tr *transport) Range(ctx context.Context, request RangeRequest) (response RangeResponse, err error) {
	err = tr.call(ctx, "/v3/kv/range", request, &response)
	return response, err
}

// Txn implements Calls.
func (tr *transport) Txn(ctx context.Context, request TxnRequest) (response TxnResponse, err error) {
	err = tr.call(ctx, "/v3/kv/txn", request, &response)
	return response, err
}

// GrantLease implements Calls.
func (tr *transport) GrantLease(ctx context.Context, request LeaseRequest) (response LeaseResponse, err error) {
	err = tr.call(ctx, "/v3/lease/grant", request, &response)
	return response, err
}

// KeepAlive implements Calls.
func (tr *transport) KeepAlive(ctx context.Context, request LeaseRequest) (response KeepAliveResponse, err error) {
	err = tr.call(ctx, "/v3/lease/keepalive", request, &response)
	return response, err
}

// RevokeLease implements Calls.
func (tr *transport) RevokeLease(ctx context.Context, request LeaseRequest) error {
	return tr.call(ctx, "/v3/lease/revoke", request, nil)
}

// Watch implements Store.
func (cl *Client) Watch(ctx context.Context, prefix string) (<-chan Change, error) {
	create := WatchRequest{Create: WatchCreate{Key: []byte(prefix), RangeEnd: RangeEnd(prefix)}}
	ctx, cancel := context.WithCancel(ctx)
	// Without this timeout, a service that accepts the call and never answers would block the caller forever.
	openTimer := time.AfterFunc(callTimeout, tasks.Guard("watch timeout", cancel))
	resp, err := cl.transport.post(ctx, "/v3/watch", create)
	if err != nil {
		cancel()
		return nil, err
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxWatchLineBytes)
	var created WatchResponse
	ok := lines.Scan() && json.Unmarshal(lines.Bytes(), &created) == nil && created.Result.Created && !created.Result.Canceled
	if !ok || !openTimer.Stop() {
		cancel()
		_ = resp.Body.Close()
		return nil, Unavailable.New("store: the watch of %s did not start; the platform's service may be down", prefix)
	}
	// A return of the service ends its connections, so all changes of a watch are from one era.
	era, err := cl.eraOf(ctx, created.Result.Header, nil)
	if err != nil {
		cancel()
		_ = resp.Body.Close()
		return nil, err
	}
	changes := make(chan Change, watchBuffer)
	go tasks.Guard("watch", func() {
		defer cancel()
		readChanges(ctx, era, resp.Body, lines, changes)
	})()
	return changes, nil
}

// readChanges sends the reported changes to the channel, which it closes when the stream or the context ends.
func readChanges(ctx context.Context, era int64, body io.Closer, lines *bufio.Scanner, changes chan<- Change) {
	defer close(changes)
	defer func() { _ = body.Close() }()
	for lines.Scan() {
		var response WatchResponse
		if json.Unmarshal(lines.Bytes(), &response) != nil || response.Result.Canceled {
			return
		}
		for _, ev := range response.Result.Events {
			select {
			case changes <- Change{Pair: ev.Kv.Pair(era), Deleted: ev.Type == EventDelete}:
			case <-ctx.Done():
				return
			}
		}
	}
}

func (tr *transport) call(ctx context.Context, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := tr.post(ctx, path, request)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		tr.closeIdleOnTimeout(err)
		return Unavailable.Wrap(err, "store: %s answered in part", path)
	}
	if len(raw) > maxResponseBytes {
		return Invalid.New("store: %s answered more than %d bytes; ask for fewer pairs", path, maxResponseBytes)
	}
	if response == nil {
		return nil
	}
	if err := json.Unmarshal(raw, response); err != nil {
		return Unavailable.Wrap(err, "store: %s answered no JSON", path)
	}
	return nil
}

func (tr *transport) post(ctx context.Context, path string, request any) (*http.Response, error) {
	raw, err := json.Marshal(request)
	if err != nil {
		return nil, Invalid.Wrap(err, "store: %s", path)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, tr.base+path, bytes.NewReader(raw))
	if err != nil {
		return nil, Invalid.Wrap(err, "store: the address does not parse; give host:port")
	}
	req.Header.Set("Content-Type", "application/json")
	// With GetBody the transport would resend the call by itself when a kept-alive connection broke. A write must be sent
	// once only, or the second one could conflict with the first.
	req.GetBody = nil
	resp, err := tr.http.Do(req)
	if err != nil {
		tr.closeIdleOnTimeout(err)
		return nil, Unavailable.Wrap(err, "store: %s gave no answer; the platform's service may be down", path)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, statusError(path, resp)
}

// closeIdleOnTimeout closes the idle connections after a call that timed out. When a device on the path has lost track of
// the open connections, all of them are dead while new ones work. Without this, each of the next calls would pick another
// dead connection and time out too.
func (tr *transport) closeIdleOnTimeout(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		tr.http.CloseIdleConnections()
	}
}

func statusError(path string, resp *http.Response) *errorx.Error {
	var status Status
	_ = json.NewDecoder(io.LimitReader(resp.Body, 1<<16)).Decode(&status)
	switch {
	case status.Code == codeNotFound:
		return Missing.New("store: %s: %s", path, status.Message)
	case status.Code == codeResourceExhausted || resp.StatusCode == http.StatusTooManyRequests:
		return Limited.New("store: %s was over the platform's rate; call less often", path)
	case resp.StatusCode == http.StatusBadRequest:
		return Invalid.New("store: %s: %s", path, status.Message)
	default:
		return Unavailable.New("store: %s answered %s", path, resp.Status)
	}
}
