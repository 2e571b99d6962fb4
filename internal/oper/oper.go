// Package oper is the client of the operator API that every entry instance serves.
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
	// Errors groups what this package returns.
	Errors = errorx.NewNamespace("oper")
	// BadOption tells that a setting cannot be used.
	BadOption = Errors.NewType("bad_option")
	// Unreachable tells that the instance gave no answer.
	Unreachable = Errors.NewType("unreachable", errorx.Temporary())
	// Refused tells that the instance refused the request; the message has its remedy.
	Refused = Errors.NewType("refused")
	// Stale tells that a patch was made against an older version.
	Stale = Errors.NewType("stale")
)

// Options say which instance to ask and as whom.
type Options struct {
	Server    string        `long:"server" env:"DANDELIONSAIL_SERVER" description:"an entry instance, host:port or URL" default:"127.0.0.1:8080"`
	Token     string        `long:"token" env:"DANDELIONSAIL_OPERATOR_TOKEN" description:"operator's token; prefer the variable or --token-file"`
	TokenFile string        `long:"token-file" env:"DANDELIONSAIL_OPERATOR_TOKEN_FILE" description:"file that holds the operator's token"`
	CA        string        `long:"ca" env:"DANDELIONSAIL_CA" description:"file of the authority that signed the instance's certificate"`
	CertName  string        `long:"cert-name" env:"DANDELIONSAIL_CERT_NAME" description:"name in the instances' certificates, where they are reached by IP number"`
	Timeout   time.Duration `long:"timeout" env:"DANDELIONSAIL_TIMEOUT" description:"longest wait for an answer" default:"10s"`
}

// Client asks instances.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New checks the options and returns a client.
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
		if transport.TLSClientConfig, err = trust(opts.CA, opts.CertName); err != nil {
			return nil, err
		}
	}
	return &Client{base: base(opts.Server), token: token, http: &http.Client{Transport: transport, Timeout: opts.Timeout}}, nil
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
		return "", BadOption.Wrap(err, "oper: --token-file %s cannot be read", opts.TokenFile)
	}
	return strings.TrimSpace(string(raw)), nil
}

func trust(file, name string) (*tls.Config, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, BadOption.Wrap(err, "oper: --ca %s cannot be read", file)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, BadOption.New("oper: --ca %s holds no certificate; give a PEM file", file)
	}
	return &tls.Config{RootCAs: pool, ServerName: name, MinVersion: tls.VersionTLS13}, nil
}

func base(server string) string {
	if strings.Contains(server, "://") {
		return strings.TrimRight(server, "/")
	}
	return "http://" + server
}

// at returns the client of another instance under the same token.
func (cl *Client) at(address string) *Client {
	scheme, _, _ := strings.Cut(cl.base, "://")
	return &Client{base: scheme + "://" + address, token: cl.token, http: cl.http}
}

// Close closes idle connections.
func (cl *Client) Close() {
	cl.http.CloseIdleConnections()
}

// Status returns what the instance knows.
func (cl *Client) Status(ctx context.Context) (entry.Status, error) {
	var status entry.Status
	err := cl.call(ctx, http.MethodGet, "/operator/v1/status", nil, &status)
	return status, err
}

// Report returns what the instance measured.
func (cl *Client) Report(ctx context.Context) (meter.Report, error) {
	var rp meter.Report
	err := cl.call(ctx, http.MethodGet, "/operator/v1/report", nil, &rp)
	return rp, err
}

// Config returns the version in force at the instance.
func (cl *Client) Config(ctx context.Context) (*decl.Config, error) {
	cfg := &decl.Config{}
	err := cl.call(ctx, http.MethodGet, "/operator/v1/config", nil, cfg)
	return cfg, err
}

// History returns the patches after a version, oldest first.
func (cl *Client) History(ctx context.Context, after int64) ([]conf.Patch, error) {
	var patches []conf.Patch
	path := "/operator/v1/config/patches?after=" + strconv.FormatInt(after, 10)
	err := cl.call(ctx, http.MethodGet, path, nil, &patches)
	return patches, err
}

// Submit sends a patch. After an Unreachable error the same patch may be sent again; it lands once.
func (cl *Client) Submit(ctx context.Context, patch conf.Patch) (int64, error) {
	var accepted entry.PatchAccepted
	err := cl.call(ctx, http.MethodPost, "/operator/v1/config/patches", patch, &accepted)
	return accepted.Version, err
}

// fanOut bounds the instances asked at once.
const fanOut = 16

// Fleet asks every live instance that this one knows, and names those that gave no answer.
func (cl *Client) Fleet(ctx context.Context) (statuses []entry.Status, missing []string, err error) {
	first, err := cl.Status(ctx)
	if err != nil {
		return nil, nil, err
	}
	statuses, missing = askAll(cl, first, func(at *Client) (entry.Status, error) { return at.Status(ctx) })
	return statuses, missing, nil
}

// FleetReport returns the figures of every live instance as one.
func (cl *Client) FleetReport(ctx context.Context) (meter.Report, error) {
	first, err := cl.Status(ctx)
	if err != nil {
		return meter.Report{}, err
	}
	reports, missing := askAll(cl, first, func(at *Client) (meter.Report, error) { return at.Report(ctx) })
	return meter.Merge(append(reports, meter.Report{Missing: missing})), nil
}

// askAll asks the instance that gave the status and all that it knows.
func askAll[Answer any](cl *Client, first entry.Status, ask func(at *Client) (Answer, error)) (answers []Answer, missing []string) {
	asked := []*Client{cl}
	names := []string{first.Instance}
	for _, inst := range first.Instances {
		if inst.Name != first.Instance {
			asked = append(asked, cl.at(inst.Address))
			names = append(names, inst.Name)
		}
	}
	all := make([]Answer, len(asked))
	errs := make([]error, len(asked))
	var group errgroup.Group
	group.SetLimit(fanOut)
	for i, at := range asked {
		group.Go(func() error {
			all[i], errs[i] = ask(at)
			return nil
		})
	}
	_ = group.Wait()
	for i, name := range names {
		if errs[i] != nil {
			missing = append(missing, name)
			continue
		}
		answers = append(answers, all[i])
	}
	return answers, missing
}

// maxAnswer bounds an answer in bytes.
const maxAnswer = 64 << 20

func (cl *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return Refused.Wrap(err, "oper: the request does not encode")
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, cl.base+path, body)
	if err != nil {
		return BadOption.Wrap(err, "oper: --server %s does not parse; give host:port or a URL", cl.base)
	}
	req.Header.Set("Authorization", "Bearer "+cl.token)
	resp, err := cl.http.Do(req)
	if err != nil {
		return Unreachable.Wrap(err, "oper: %s gave no answer; check --server", cl.base)
	}
	defer func() { _ = resp.Body.Close() }()
	limited := io.LimitReader(resp.Body, maxAnswer)
	if resp.StatusCode/100 != 2 {
		return refusal(resp.StatusCode, limited)
	}
	if err := json.NewDecoder(limited).Decode(out); err != nil {
		return Unreachable.Wrap(err, "oper: %s answered no JSON; is it an entry instance?", cl.base)
	}
	return nil
}

// refusal reads either form of error that an instance answers with.
func refusal(status int, body io.Reader) error {
	var answer struct {
		entry.PatchRefused
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		return Refused.New("oper: the instance answered %d", status)
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
