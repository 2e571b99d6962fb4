package entry

import (
	"net"

	"dandelionsail.example/dandelionsail/internal/front"
	"dandelionsail.example/dandelionsail/internal/peers"
)

// callerServe returns the function that serves callers on a listener, over TLS if a certificate is configured.
func (in *Instance) callerServe(server *front.Server) (func(net.Listener) error, error) {
	if in.opts.TLSCert == "" {
		return server.Serve, nil
	}
	keys, err := peers.LoadKeys("", in.opts.TLSCert, in.opts.TLSKey)
	if err != nil {
		return nil, BadOption.Wrap(err, "entry: --tls-cert and --tls-key cannot be used")
	}
	config := keys.ServerTLS()
	return func(listener net.Listener) error { return server.ServeTLS(listener, config) }, nil
}
