// Package hops separates hop-by-hop headers, which concern one connection, from end-to-end headers.
package hops

import (
	"net/http"
	"strings"
)

// hopByHop lists headers that concern one connection only, or that are set anew for the next one.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEnd returns a copy of the header without the hop-by-hop headers, including those that the Connection header names.
func EndToEnd(header http.Header) http.Header {
	kept := header.Clone()
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		kept.Del(name)
	}
	return kept
}
