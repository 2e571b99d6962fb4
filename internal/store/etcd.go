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

// Bounds of one call.
const (
	dialTimeout = time.Second
	// callTimeout ends a call that the service leaves unanswered.
	callTimeout = 3 * time.Second
	// watchBacklog is how many changes wait for a slow reader before the watch stops reading.
	watchBacklog = 64
	// maxAnswer bounds what is read of one answer in bytes, far above the longest List that this system asks for.
	maxAnswer = 64 << 20
	// maxWatchLine bounds one message of a watch: a batch of patches, each below MaxValue, in base64.
	maxWatchLine  = 32 << 20
	keepAliveIdle = 5 * time.Second
)

// Codes of the service's errors, as the JSON form of its published protocol gives them.
const (
	codeNotFound          = 5
	codeResourceExhausted = 8
)

// Client is the Store over the etcd version 3 JSON protocol, the published form of the platform's service.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the service at the address.
func New(address string) *Client {
	// A watch has no traffic for hours; without keep-alives a connection that was forgotten on the way would look
	// like a store where nothing changes.
	keepAlive := net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: 3}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}
	// A redirect followed would be a write sent twice.
	stay := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport, CheckRedirect: stay}}
}

// Close closes idle connections.
func (cl *Client) Close() {
	cl.http.CloseIdleConnections()
}

// Get implements Store.
func (cl *Client) Get(ctx context.Context, key string) (Pair, error) {
	var answer RangeAnswer
	if err := cl.call(ctx, "/v3/kv/range", RangeRequest{Key: []byte(key)}, &answer); err != nil {
		return Pair{}, err
	}
	if len(answer.Kvs) == 0 {
		return Pair{}, Missing.New("store: no key %s", key)
	}
	return answer.Kvs[0].pair(), nil
}

// List implements Store.
func (cl *Client) List(ctx context.Context, prefix, from string, limit int) ([]Pair, error) {
	start := max(prefix, from)
	request := RangeRequest{Key: []byte(start), RangeEnd: RangeEnd(prefix), Limit: int64(limit)}
	var answer RangeAnswer
	if err := cl.call(ctx, "/v3/kv/range", request, &answer); err != nil {
		return nil, err
	}
	pairs := make([]Pair, 0, len(answer.Kvs))
	for _, kv := range answer.Kvs {
		pairs = append(pairs, kv.pair())
	}
	return pairs, nil
}

// RangeEnd returns the first key behind all keys with the prefix.
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
		Compare: []Compare{unchanged(key, revision)},
		Success: []Op{{Put: &PutRequest{Key: []byte(key), Value: value, Lease: int64(lease)}}},
	}
	var answer TxnAnswer
	if err := cl.call(ctx, "/v3/kv/txn", request, &answer); err != nil {
		return Pair{}, err
	}
	if !answer.Succeeded {
		return Pair{}, Conflict.New("store: %s was written since revision %d; read it again", key, revision)
	}
	return Pair{Key: key, Value: value, Revision: answer.Header.Revision, Lease: lease}, nil
}

func unchanged(key string, revision int64) Compare {
	return Compare{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: revision}
}

// Delete implements Store.
func (cl *Client) Delete(ctx context.Context, key string, revision int64) error {
	request := TxnRequest{
		Compare: []Compare{unchanged(key, revision)},
		Success: []Op{{Delete: &DeleteRequest{Key: []byte(key)}}},
	}
	var answer TxnAnswer
	if err := cl.call(ctx, "/v3/kv/txn", request, &answer); err != nil {
		return err
	}
	if !answer.Succeeded {
		return Conflict.New("store: %s was written since revision %d; read it again", key, revision)
	}
	return nil
}

// Grant implements Store.
func (cl *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var answer LeaseAnswer
	err := cl.call(ctx, "/v3/lease/grant", LeaseRequest{TTL: seconds}, &answer)
	return LeaseID(answer.ID), err
}

// Renew implements Store.
func (cl *Client) Renew(ctx context.Context, lease LeaseID) error {
	var answer KeepAliveAnswer
	if err := cl.call(ctx, "/v3/lease/keepalive", LeaseRequest{ID: int64(lease)}, &answer); err != nil {
		return err
	}
	if answer.Result.TTL <= 0 {
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
	// A service that takes the call and never answers must not hold the caller for ever.
	opening := time.AfterFunc(callTimeout, cancel)
	resp, err := cl.post(ctx, "/v3/watch", create)
	if err != nil {
		cancel()
		return nil, err
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxWatchLine)
	var created WatchAnswer
	ok := lines.Scan() && json.Unmarshal(lines.Bytes(), &created) == nil && created.Result.Created && !created.Result.Canceled
	if !ok || !opening.Stop() {
		cancel()
		_ = resp.Body.Close()
		return nil, Unavailable.New("store: the watch of %s did not start; the platform's service may be down", prefix)
	}
	changes := make(chan Change, watchBacklog)
	go func() {
		defer cancel()
		follow(ctx, resp.Body, lines, changes)
	}()
	return changes, nil
}

// follow passes on what the service sends until the stream or the context ends; the closed channel is its report.
func follow(ctx context.Context, body io.Closer, lines *bufio.Scanner, changes chan<- Change) {
	defer close(changes)
	defer func() { _ = body.Close() }()
	for lines.Scan() {
		var answer WatchAnswer
		if json.Unmarshal(lines.Bytes(), &answer) != nil || answer.Result.Canceled {
			return
		}
		for _, ev := range answer.Result.Events {
			select {
			case changes <- Change{Pair: ev.Kv.pair(), Deleted: ev.Type == EventDelete}:
			case <-ctx.Done():
				return
			}
		}
	}
}

func (cl *Client) call(ctx context.Context, path string, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := cl.post(ctx, path, request)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		cl.forget(err)
		return Unavailable.Wrap(err, "store: %s answered in part", path)
	}
	if len(raw) > maxAnswer {
		return Invalid.New("store: %s answered more than %d bytes; ask for fewer pairs", path, maxAnswer)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(raw, answer); err != nil {
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
	// The transport would send the call a second time on a kept connection that broke; a write must be known to have
	// been sent once only.
	req.GetBody = nil
	resp, err := cl.http.Do(req)
	if err != nil {
		cl.forget(err)
		return nil, Unavailable.Wrap(err, "store: %s gave no answer; the platform's service may be down", path)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, failure(path, resp)
}

// forget closes the idle connections after a call that timed out. When something on the way has lost track of the open
// connections, all of them are silent while new ones work; without this each of the next calls would find another of
// them and time out in turn.
func (cl *Client) forget(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		cl.http.CloseIdleConnections()
	}
}

func failure(path string, resp *http.Response) *errorx.Error {
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
