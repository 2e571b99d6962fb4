// Package plat is a client of the platform's list of instances. The list contains all live and leaving instances, both
// upstreams and this system's own instances, and lags behind their actual state.
package plat

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/trip"
)

// PathInstances is the path at which the platform serves the list.
const PathInstances = "/v1/instances"

// ServiceEntry is the service name under which the platform lists this system's own instances.
const ServiceEntry = "dandelionsail"

// States of a listed instance.
const (
	StateLive    = "Live"
	StateLeaving = "Leaving"
)

// Entry is an instance on the list.
type Entry struct {
	Name    string
	Service string
	Address string
	// Peer is the UDP address at which one of this system's instances receives from its peers; empty for upstreams.
	Peer          string
	FailureDomain string
	// State is StateLive or StateLeaving.
	State string
}

// Listing is the whole list.
type Listing struct {
	Instances []Entry
	// Invalid holds why entries are left out that cannot be used, by name.
	Invalid map[string]string `json:"-"`
}

var (
	// Errors is the namespace of the errors that this package returns.
	Errors = errorx.NewNamespace("plat")
	// Unavailable reports that the list could not be read or changed. After a failed read the last list stays in use.
	Unavailable = Errors.NewType("unavailable", errorx.Temporary())
)

const (
	// listTimeout is the timeout of one call to the platform.
	listTimeout = 3 * time.Second
	// maxListing is the maximum size of the list in bytes.
	maxListing = 16 << 20
)

// Client reads the list. It is not safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
	// last is the list that was received last.
	last Listing
	// etag is the ETag of last, empty if there is none.
	etag string
}

// New returns a client of the platform at the address.
func New(address string) *Client {
	return &Client{address: address, http: &http.Client{Timeout: listTimeout, Transport: trip.Client{Transport: trip.NewTransport((&net.Dialer{}).DialContext)}}}
}

// Close closes idle connections.
func (cl *Client) Close() {
	cl.http.CloseIdleConnections()
}

// List reads the list. The request is conditional, so that the platform does not send an unchanged list again: with
// 12,000 upstreams the list is larger than a megabyte, and it is read every second.
func (cl *Client) List(ctx context.Context) (Listing, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+cl.address+PathInstances, nil)
	if err != nil {
		return Listing{}, Unavailable.Wrap(err, "plat: the platform's address is invalid; give host:port")
	}
	if cl.etag != "" {
		req.Header.Set("If-None-Match", cl.etag)
	}
	resp, err := cl.http.Do(req)
	if err != nil {
		return Listing{}, Unavailable.Wrap(err, "plat: cannot read the list; the last list stays in use")
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		return cl.read(resp)
	case http.StatusNotModified:
		return cl.last, nil
	}
	return Listing{}, Unavailable.New("plat: the platform answered the list request with %s; the last list stays in use", resp.Status)
}

func (cl *Client) read(resp *http.Response) (Listing, error) {
	var listing Listing
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListing)).Decode(&listing); err != nil {
		return Listing{}, Unavailable.Wrap(err, "plat: the list is not valid JSON; the last list stays in use")
	}
	cl.last = listing
	cl.etag = resp.Header.Get("ETag")
	return listing, nil
}

// Events converts the listing into the reducers' events, one for upstreams and one for this system's own instances.
func (ls Listing) Events() (event.UpstreamsListed, event.InstancesListed) {
	var ups event.UpstreamsListed
	var insts event.InstancesListed
	for _, en := range ls.Instances {
		leaving := en.State == StateLeaving
		if en.Service == ServiceEntry {
			inst := event.Instance{Name: en.Name, Address: en.Address, Peer: en.Peer, FailureDomain: en.FailureDomain, Leaving: leaving}
			insts.Instances = append(insts.Instances, inst)
			continue
		}
		up := event.Upstream{
			Name: en.Name, Service: en.Service, Address: en.Address, FailureDomain: en.FailureDomain, Leaving: leaving,
		}
		ups.Upstreams = append(ups.Upstreams, up)
	}
	return ups, insts
}
