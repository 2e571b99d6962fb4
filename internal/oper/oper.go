// Package oper implements a client of the operator API, which every entry instance serves.
package oper

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/entry"
	"dandelionsail.example/dandelionsail/internal/meter"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

var (
	// Errors is the namespace of the errors that this package returns.
	Errors = errorx.NewNamespace("oper")
	// BadOption means that a setting is invalid or cannot be used.
	BadOption = Errors.NewType("bad_option")
	// Unreachable means that no usable response arrived, or one with status 503. The request may be sent again.
	Unreachable = Errors.NewType("unreachable", errorx.Temporary())
	// Refused means that the instance rejected the request for any other reason than Stale, or that the request could not be
	// encoded. If the instance sent a message, that is the error's text and names the remedy.
	Refused = Errors.NewType("refused")
	// Stale means that a patch is based on a version that is no longer the newest one.
	Stale = Errors.NewType("stale")
)

// Options select the instance to connect to, the operator's credentials and how the connection is made.
type Options struct {
	Server    string        `long:"server" env:"DANDELIONSAIL_SERVER" description:"an entry instance, host:port or URL" default:"127.0.0.1:8080"`
	Token     string        `long:"token" env:"DANDELIONSAIL_OPERATOR_TOKEN" description:"operator's token; prefer the variable or --token-file"`
	TokenFile string        `long:"token-file" env:"DANDELIONSAIL_OPERATOR_TOKEN_FILE" description:"file that holds the operator's token"`
	CA        string        `long:"ca" env:"DANDELIONSAIL_CA" description:"file with the certificate of the authority that signed the instances' certificates"`
	CertName  string        `long:"cert-name" env:"DANDELIONSAIL_CERT_NAME" description:"name in the instances' certificates, if they are reached by IP address"`
	Timeout   time.Duration `long:"timeout" env:"DANDELIONSAIL_TIMEOUT" description:"timeout of a request" default:"10s"`
}

// Client sends requests to the operator API of one instance, called its own here. Fleet and FleetReport also query the
// instances that this one lists.
type Client struct {
	baseURL string
	token   string
	http    *http.Client
}

// New returns a client with the options, or a BadOption error if one of them is invalid or a file cannot be used.
func New(opts Options) (*Client, error) {
	token, err := opts.readToken()
	if err != nil {
		return nil, err
	}
	if opts.Timeout <= 0 {
		return nil, BadOption.New("oper: --timeout is %s; give a duration above 0s", opts.Timeout)
	}
	transport := &http.Transport{}
	if opts.CA != "" {
		if transport.TLSClientConfig, err = tlsConfig(opts.CA, opts.CertName); err != nil {
			return nil, err
		}
	}
	return &Client{baseURL: baseURL(opts.Server), token: token, http: &http.Client{Transport: transport, Timeout: opts.Timeout}}, nil
}

func (opts Options) readToken() (string, error) {
	if opts.TokenFile == "" {
		if opts.Token == "" {
			return "", BadOption.New("oper: no operator token; give --token-file or set DANDELIONSAIL_OPERATOR_TOKEN")
		}
		return opts.Token, nil
	}
	raw, err := os.ReadFile(opts.TokenFile)
	if err != nil {
		return "", BadOption.Wrap(err, "oper: --token-file %s cannot be read; check the path and its permissions", opts.TokenFile)
	}
	return strings.TrimSpace(string(raw)), nil
}

func tlsConfig(file, name string) (*tls.Config, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, BadOption.Wrap(err, "oper: --ca %s cannot be read; check the path and its permissions", file)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, BadOption.New("oper: --ca %s holds no certificate; give a PEM file", file)
	}
	return &tls.Config{RootCAs: pool, ServerName: name, MinVersion: tls.VersionTLS13}, nil
}

func baseURL(server string) string {
	if strings.Contains(server, "://") {
		return strings.TrimRight(server, "/")
	}
	return "http://" + server
}

// withAddress returns a client of the instance at the address. It shares this client's scheme, token and connection pool.
func (cl *Client) withAddress(address string) *Client {
	scheme, _, _ := strings.Cut(cl.baseURL, "://")
	return &Client{baseURL: scheme + "://" + address, token: cl.token, http: cl.http}
}

// Close closes idle connections.
func (cl *Client) Close() {
	cl.http.CloseIdleConnections()
}

// Status returns the state of the client's own instance and that instance's view of the fleet.
func (cl *Client) Status(ctx context.Context) (entry.Status, error) {
	var status entry.Status
	err := cl.call(ctx, http.MethodGet, "/operator/v1/status", nil, &status)
	return status, err
}

// Report returns the measurements of the client's own instance.
func (cl *Client) Report(ctx context.Context) (meter.Report, error) {
	var rp meter.Report
	err := cl.call(ctx, http.MethodGet, "/operator/v1/report", nil, &rp)
	return rp, err
}

// Config returns the configuration in force at the client's own instance.
func (cl *Client) Config(ctx context.Context) (*decl.Config, error) {
	cfg := &decl.Config{}
	err := cl.call(ctx, http.MethodGet, "/operator/v1/config", nil, cfg)
	return cfg, err
}

// History returns the patches that follow a version, oldest first.
func (cl *Client) History(ctx context.Context, after int64) ([]conf.Patch, error) {
	var patches []conf.Patch
	path := "/operator/v1/config/patches?after=" + strconv.FormatInt(after, 10)
	err := cl.call(ctx, http.MethodGet, path, nil, &patches)
	return patches, err
}

// Submit sends a patch and returns the version number that the patch was given. After an Unreachable error the same
// patch may be sent again: it is applied only once.
func (cl *Client) Submit(ctx context.Context, patch conf.Patch) (int64, error) {
	var accepted entry.PatchAccepted
	err := cl.call(ctx, http.MethodPost, "/operator/v1/config/patches", patch, &accepted)
	return accepted.Version, err
}

// maxParallel is the maximum number of instances that queryAll queries at the same time.
const maxParallel = 16

// Fleet returns the status of the client's own instance and of every instance that this one lists, and the names of those
// whose query failed.
func (cl *Client) Fleet(ctx context.Context) (statuses []entry.Status, missing []string, err error) {
	ownStatus, err := cl.Status(ctx)
	if err != nil {
		return nil, nil, err
	}
	statuses, missing = queryAll(cl, ownStatus, func(target *Client) (entry.Status, error) { return target.Status(ctx) })
	return statuses, missing, nil
}

// FleetReport merges the measurements of the client's own instance and of every instance that this one lists. The report's
// Missing field names those whose query failed.
func (cl *Client) FleetReport(ctx context.Context) (meter.Report, error) {
	ownStatus, err := cl.Status(ctx)
	if err != nil {
		return meter.Report{}, err
	}
	reports, missing := queryAll(cl, ownStatus, func(target *Client) (meter.Report, error) { return target.Report(ctx) })
	return meter.Merge(append(reports, meter.Report{Missing: missing})), nil
}

// queryAll queries the client's own instance, whose status is ownStatus, and all others that this status lists. It returns
// the responses and the names of the instances whose query failed.
func queryAll[Response any](cl *Client, ownStatus entry.Status, query func(target *Client) (Response, error)) (received []Response, missing []string) {
	clients := []*Client{cl}
	names := []string{ownStatus.Instance}
	for _, inst := range ownStatus.Instances {
		if inst.Name != ownStatus.Instance {
			clients = append(clients, cl.withAddress(inst.Address))
			names = append(names, inst.Name)
		}
	}
	responses := make([]Response, len(clients))
	errs := make([]error, len(clients))
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for i, target := range clients {
		group.Go(func() error {
			responses[i], errs[i] = query(target)
			return nil
		})
	}
	_ = group.Wait()
	for i, name := range names {
		if errs[i] != nil {
			missing = append(missing, name)
			continue
		}
		received = append(received, responses[i])
	}
	return received, missing
}

// maxResponseBytes is how much of a response body is read at most. The rest is ignored.
const maxResponseBytes = 64 << 20

func (cl *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return Refused.Wrap(err, "oper: cannot encode the request")
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, cl.baseURL+path, body)
	if err != nil {
		return BadOption.Wrap(err, "oper: --server %s does not parse; give host:port or a URL", cl.baseURL)
	}
	req.Header.Set("Authorization", "Bearer "+cl.token)
	resp, err := cl.http.Do(req)
	if err != nil {
		return Unreachable.Wrap(err, "oper: no response from %s; check --server", cl.baseURL)
	}
	defer func() { _ = resp.Body.Close() }()
	limited := io.LimitReader(resp.Body, maxResponseBytes)
	if resp.StatusCode/100 != 2 {
		return responseError(resp.StatusCode, limited)
	}
	if err := json.NewDecoder(limited).Decode(out); err != nil {
		return Unreachable.Wrap(err, "oper: the response from %s is not the expected JSON; check that --server names an entry instance", cl.baseURL)
	}
	return nil
}

// responseError returns the error for a response whose status is not 2xx. Its body is a PatchRefused or has an error object
// with a message, so one of the two decoded messages is empty.
func responseError(status int, body io.Reader) error {
	var answer struct {
		entry.PatchRefused
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		return Refused.New("oper: the instance responded with status %d and a body that is not a JSON error; check that --server names an entry instance", status)
	}
	message := answer.Message + answer.Error.Message
	switch status {
	case http.StatusConflict:
		return Stale.New("%s", message).WithProperty(conf.PropertyVersion, answer.Newest)
	case http.StatusServiceUnavailable:
		return Unreachable.New("%s", message)
	default:
		return Refused.New("%s", fmt.Sprint(message))
	}
}
