package entry

import (
	"net"

	"dandelionsail.example/dandelionsail/internal/front"
	"dandelionsail.example/dandelionsail/internal/peers"
)

// serveCallers serves callers on the listener, over TLS if a certificate is configured.
func (in *Instance) serveCallers(server *front.Server, listener net.Listener) error {
	if in.opts.TLSCert == "" {
		return ignoreClosed(server.Serve(listener))
	}
	keys, err := peers.LoadKeys("", in.opts.TLSCert, in.opts.TLSKey)
	if err != nil {
		return BadOption.Wrap(err, "entry: --tls-cert and --tls-key cannot be used")
	}
	return ignoreClosed(server.ServeTLS(listener, keys.ServerTLS()))
}
