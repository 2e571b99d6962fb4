package trip

import (
	"net/http"
	"net/http/httptrace"
)

// NewTransport returns a transport that opens its connections by dial. Of the answers on them, heads that are none and ends that are not proven to be in order
// are errors. All transports over which an instance reads answers come from here. Requests are sent on them by Do, or by a Client.
func NewTransport(dial Dialer) *http.Transport {
	return &http.Transport{
		DialContext: CountingDialer(dial),
		// Without a limit of its own, net/http reads and holds 10 MB of a head that does not end.
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// Client is an http.RoundTripper over a transport of NewTransport, for requests of an instance itself, which net/http may repeat.
type Client struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (cl Client) RoundTrip(req *http.Request) (*http.Response, error) {
	gotConn := func(info httptrace.GotConnInfo) {
		if cc, ok := info.Conn.(*countingConn); ok {
			cc.beginUse()
		}
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: gotConn}))
	resp, err := cl.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := checkParsed(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
