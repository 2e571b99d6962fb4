// Package plat reads the platform's lagging list of live and leaving instances, upstreams and entry instances alike.
package plat

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/event"
)

// PathInstances is where the platform serves its list.
const PathInstances = "/v1/instances"

// ServiceEntry is the service name under which the platform lists this system's own instances.
const ServiceEntry = "dandelionsail"

// States of a listed instance.
const (
	StateLive    = "Live"
	StateLeaving = "Leaving"
)

// Entry is one listed instance.
type Entry struct {
	Name    string
	Service string
	Address string
	// Peer is where an entry instance hears its peers, over UDP; empty for upstreams.
	Peer          string
	FailureDomain string
	// State is StateLive or StateLeaving.
	State string
}

// Listing is the whole list.
type Listing struct{ Instances []Entry }

// Errors groups what this package returns; Unavailable tells that the list could not be read, so the last one holds.
var (
	Errors      = errorx.NewNamespace("plat")
	Unavailable = Errors.NewType("unavailable", errorx.Temporary())
)

const (
	listTimeout = 3 * time.Second
	maxListing  = 16 << 20
)

// Client reads the list.
type Client struct {
	address string
	http    *http.Client
	// last is the newest list, and tag the platform's name for it.
	last Listing
	tag  string
}

// New returns a client of the platform at the address.
func New(address string) *Client {
	return &Client{address: address, http: &http.Client{Timeout: listTimeout, Transport: &http.Transport{}}}
}

// Close closes idle connections.
func (cl *Client) Close() {
	cl.http.CloseIdleConnections()
}

// List reads the list as it is now, which lags behind the truth. It is for one goroutine. A list that has not changed is
// not sent again: with 12,000 upstreams it has more than a megabyte, and is read every second.
func (cl *Client) List(ctx context.Context) (Listing, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+cl.address+PathInstances, nil)
	if err != nil {
		return Listing{}, Unavailable.Wrap(err, "plat: the address does not parse; give host:port")
	}
	if cl.tag != "" {
		req.Header.Set("If-None-Match", cl.tag)
	}
	resp, err := cl.http.Do(req)
	if err != nil {
		return Listing{}, Unavailable.Wrap(err, "plat: no list; the last one stays in use")
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		return cl.read(resp)
	case http.StatusNotModified:
		return cl.last, nil
	}
	return Listing{}, Unavailable.New("plat: the list answered %s; the last one stays in use", resp.Status)
}

func (cl *Client) read(resp *http.Response) (Listing, error) {
	var listing Listing
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListing)).Decode(&listing); err != nil {
		return Listing{}, Unavailable.Wrap(err, "plat: the list is no JSON; the last one stays in use")
	}
	cl.last = listing
	cl.tag = resp.Header.Get("ETag")
	return listing, nil
}

// Events splits a listing into what the reducers take.
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
