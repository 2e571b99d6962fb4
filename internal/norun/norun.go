// Package norun decides what proves that a request has not run. Both fronts send a request that may run once again only with such a proof.
package norun

import (
	"net/http"
	"slices"
	"strings"
)

// Proof says why a request that was sent, or was about to be, has not run and will not run because of that. Only the functions of this package
// make one. The zero value proves nothing: the request may have run.
type Proof uint8

// The proofs.
const (
	// None proves nothing.
	None Proof = iota
	// Unwritten means that nothing of the request has left this process, and nothing will.
	Unwritten
	// Refused means that the replica states in its answer to this request that it did not run it.
	Refused
	// Stated means that the instance which passes the request on states one of the other two.
	Stated
)

// String returns the name of the proof for logs and metrics.
func (pf Proof) String() string { return [...]string{"None", "Unwritten", "Refused", "Stated"}[pf] }

// OfWrite returns the proof of a request of which nothing was written, if so.
func OfWrite(written bool) Proof {
	if written {
		return None
	}
	return Unwritten
}

// Answer is what is known of an answer to a request.
type Answer struct {
	// Refusal reports whether the answer states that the request did not run.
	Refusal bool
	// Request is the ID under which the request was sent, empty if it has none.
	Request string
	// Named is the ID that the answer names, empty if it names none.
	Named string
	// Kept reports whether the connection had carried another request before.
	Kept bool
	// Early reports whether the answer, or a part of it, was there before the request was written.
	Early bool
}

// Named returns the ID of the request that an answer names in the field, empty if it names none. One that names several is an answer to none of them: what is
// returned then is no ID.
func Named(header http.Header, field string) string {
	ids := header.Values(field)
	if len(ids) < 2 || !slices.ContainsFunc(ids, func(id string) bool { return id != ids[0] }) {
		return header.Get(field)
	}
	return strings.Join(ids, ", ")
}

// OfAnswer returns the proof that the answer is, if it is a refusal of this request. On a kept connection the replica may send a late answer to an
// earlier request, which only the ID tells apart. On a new one there was no earlier request.
func OfAnswer(ans Answer) Proof {
	named := ans.Request != "" && ans.Named == ans.Request
	switch {
	case !ans.Refusal, ans.Early:
		return None
	case named, ans.Named == "" && !ans.Kept:
		return Refused
	}
	return None
}

// OfStatement returns the proof that another instance gives, if it states that the request has not run.
func OfStatement(states bool) Proof {
	if states {
		return Stated
	}
	return None
}
