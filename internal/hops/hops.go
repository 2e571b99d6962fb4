// Package hops parts the headers that concern one connection from those that go all the way.
package hops

import (
	"net/http"
	"strings"
)

// headers concern one connection only, or are set anew for the next one.
var headers = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// Kept returns a copy of the header without what concerns one connection, the names that Connection lists included.
func Kept(header http.Header) http.Header {
	kept := header.Clone()
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range headers {
		kept.Del(name)
	}
	return kept
}
