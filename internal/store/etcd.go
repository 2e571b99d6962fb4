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
	base string
	http *http.Client
}

// New returns a client of the service at the address, given as host:port.
func New(address string) *Client {
	// A watch may have no traffic for hours. Without keep-alives, a connection that some device on the path has silently
	// dropped would look like a store in which nothing changes.
	keepAlive := net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: 3}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}
	// Redirects are not followed, because that would send a write twice.
	noRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport, CheckRedirect: noRedirects}}
}

// Close closes idle connections.
func (cl *Client) Close() {
	cl.http.CloseIdleConnections()
}

// Get implements Store.
func (cl *Client) Get(ctx context.Context, key string) (Pair, error) {
	var response RangeResponse
	if err := cl.call(ctx, "/v3/kv/range", RangeRequest{Key: []byte(key)}, &response); err != nil {
		return Pair{}, err
	}
	if len(response.Kvs) == 0 {
		return Pair{}, Missing.New("store: no key %s", key)
	}
	return response.Kvs[0].pair(), nil
}

// List implements Store.
func (cl *Client) List(ctx context.Context, prefix, from string, limit int) ([]Pair, error) {
	start := max(prefix, from)
	request := RangeRequest{Key: []byte(start), RangeEnd: RangeEnd(prefix), Limit: int64(limit)}
	var response RangeResponse
	if err := cl.call(ctx, "/v3/kv/range", request, &response); err != nil {
		return nil, err
	}
	pairs := make([]Pair, 0, len(response.Kvs))
	for _, kv := range response.Kvs {
		pairs = append(pairs, kv.pair())
	}
	return pairs, nil
}

// RangeEnd returns the first key after all keys with the prefix. If there is none it returns a zero byte, which means "no
// upper bound" in the protocol.
func RangeEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// Swap implements Store.
func (cl *Client) Swap(ctx context.Context, key string, value []byte, revision int64, lease LeaseID) (Pair, error) {
	if len(value) > MaxValue {
		return Pair{}, Invalid.New("store: value of %s has %d bytes; split it, the platform holds %d", key, len(value), MaxValue)
	}
	request := TxnRequest{
		Compare: []Compare{revisionEquals(key, revision)},
		Success: []Op{{Put: &PutRequest{Key: []byte(key), Value: value, Lease: int64(lease)}}},
	}
	var response TxnResponse
	if err := cl.call(ctx, "/v3/kv/txn", request, &response); err != nil {
		return Pair{}, err
	}
	if !response.Succeeded {
		return Pair{}, Conflict.New("store: %s was written since revision %d; read it again", key, revision)
	}
	return Pair{Key: key, Value: value, Revision: response.Header.Revision, Lease: lease}, nil
}

func revisionEquals(key string, revision int64) Compare {
	return Compare{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: revision}
}

// Delete implements Store.
func (cl *Client) Delete(ctx context.Context, key string, revision int64) error {
	request := TxnRequest{
		Compare: []Compare{revisionEquals(key, revision)},
		Success: []Op{{Delete: &DeleteRequest{Key: []byte(key)}}},
	}
	var response TxnResponse
	if err := cl.call(ctx, "/v3/kv/txn", request, &response); err != nil {
		return err
	}
	if !response.Succeeded {
		return Conflict.New("store: %s was written since revision %d; read it again", key, revision)
	}
	return nil
}

// Grant implements Store.
func (cl *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var response LeaseResponse
	err := cl.call(ctx, "/v3/lease/grant", LeaseRequest{TTL: seconds}, &response)
	return LeaseID(response.ID), err
}

// Renew implements Store.
func (cl *Client) Renew(ctx context.Context, lease LeaseID) error {
	var response KeepAliveResponse
	if err := cl.call(ctx, "/v3/lease/keepalive", LeaseRequest{ID: int64(lease)}, &response); err != nil {
		return err
	}
	if response.Result.TTL <= 0 {
		return Missing.New("store: lease %d has ended; grant a new one", lease)
	}
	return nil
}

// Revoke implements Store.
func (cl *Client) Revoke(ctx context.Context, lease LeaseID) error {
	return cl.call(ctx, "/v3/lease/revoke", LeaseRequest{ID: int64(lease)}, nil)
}

// Watch implements Store.
func (cl *Client) Watch(ctx context.Context, prefix string, revision int64) (<-chan Change, error) {
	create := WatchRequest{Create: WatchCreate{Key: []byte(prefix), RangeEnd: RangeEnd(prefix), StartRevision: revision}}
	ctx, cancel := context.WithCancel(ctx)
	// Without this timeout, a service that accepts the call and never answers would block the caller forever.
	openTimer := time.AfterFunc(callTimeout, cancel)
	resp, err := cl.post(ctx, "/v3/watch", create)
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
	changes := make(chan Change, watchBuffer)
	go func() {
		defer cancel()
		readChanges(ctx, resp.Body, lines, changes)
	}()
	return changes, nil
}

// readChanges sends the reported changes to the channel, which it closes when the stream or the context ends.
func readChanges(ctx context.Context, body io.Closer, lines *bufio.Scanner, changes chan<- Change) {
	defer close(changes)
	defer func() { _ = body.Close() }()
	for lines.Scan() {
		var response WatchResponse
		if json.Unmarshal(lines.Bytes(), &response) != nil || response.Result.Canceled {
			return
		}
		for _, ev := range response.Result.Events {
			select {
			case changes <- Change{Pair: ev.Kv.pair(), Deleted: ev.Type == EventDelete}:
			case <-ctx.Done():
				return
			}
		}
	}
}

func (cl *Client) call(ctx context.Context, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := cl.post(ctx, path, request)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		cl.closeIdleOnTimeout(err)
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

func (cl *Client) post(ctx context.Context, path string, request any) (*http.Response, error) {
	raw, err := json.Marshal(request)
	if err != nil {
		return nil, Invalid.Wrap(err, "store: %s", path)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, cl.base+path, bytes.NewReader(raw))
	if err != nil {
		return nil, Invalid.Wrap(err, "store: the address does not parse; give host:port")
	}
	req.Header.Set("Content-Type", "application/json")
	// With GetBody the transport would resend the call by itself when a kept-alive connection broke. A write must be sent
	// once only, or the second one could conflict with the first.
	req.GetBody = nil
	resp, err := cl.http.Do(req)
	if err != nil {
		cl.closeIdleOnTimeout(err)
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
func (cl *Client) closeIdleOnTimeout(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		cl.http.CloseIdleConnections()
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
