package peers

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"
)

// protocol is negotiated in the handshake. A change that older instances cannot understand needs a new name.
const protocol = "dandelionsail/1"

// keysCheckInterval is the minimum time between two checks of the key files for changes.
const keysCheckInterval = time.Second

// Keys holds the certificate and key that an instance authenticates itself with, and the authority that the certificates
// of its peers must be signed by.
type Keys struct {
	// paths names the files of the authority's certificate, the own certificate and its key, in this order. All are
	// empty if the keys were given as bytes; only the first is empty if no peer's certificate is checked.
	paths [3]string
	// mu guards the fields below.
	mu sync.Mutex
	// stamps identifies the file contents that current was read from.
	stamps    [3]fileStamp
	lastCheck time.Time
	current   *material
	reloadErr error
}

// fileStamp detects a change of a file without reading it.
type fileStamp struct {
	modified time.Time
	size     int64
}

// material is one version of the keys.
type material struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// LoadKeys reads the keys from PEM files, and reads them again whenever the files change. If ca is empty, the keys can
// only be used with ServerTLS.
func LoadKeys(ca, certificate, key string) (*Keys, error) {
	ks := &Keys{paths: [3]string{ca, certificate, key}}
	stamps, err := ks.stat()
	if err != nil {
		return nil, err
	}
	ks.stamps = stamps
	ks.current, err = ks.read()
	return ks, err
}

// NewKeys returns keys that never change.
func NewKeys(ca, certificate, key []byte) (*Keys, error) {
	mt, err := newMaterial(ca, certificate, key)
	return &Keys{current: mt}, err
}

func newMaterial(ca, certificate, key []byte) (*material, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, BadKeys.Wrap(err, "peers: certificate and key do not form a pair; give a PEM certificate and its own key")
	}
	if ca == nil {
		return &material{certificate: pair}, nil
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(ca) {
		return nil, BadKeys.New("peers: the authority's file holds no certificate; give it in PEM")
	}
	return &material{certificate: pair, roots: roots}, nil
}

func (ks *Keys) stat() ([3]fileStamp, error) {
	var stamps [3]fileStamp
	for i, path := range ks.paths {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return stamps, BadKeys.Wrap(err, "peers: a key file cannot be read; check its path and permissions")
		}
		stamps[i] = fileStamp{info.ModTime(), info.Size()}
	}
	return stamps, nil
}

func (ks *Keys) read() (*material, error) {
	var contents [3][]byte
	for i, path := range ks.paths {
		if path == "" {
			continue
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, BadKeys.Wrap(err, "peers: a key file cannot be read; check its path and permissions")
		}
		contents[i] = content
	}
	return newMaterial(contents[0], contents[1], contents[2])
}

// latest returns the current keys, after reading the files again if they have changed. While files are being replaced,
// certificate and key may not match for a moment; the earlier keys are then kept and the files are read again at the next
// check.
func (ks *Keys) latest() *material {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	if ks.paths[1] == "" || time.Since(ks.lastCheck) < keysCheckInterval {
		return ks.current
	}
	ks.lastCheck = time.Now()
	stamps, err := ks.stat()
	if err == nil && stamps == ks.stamps {
		return ks.current
	}
	if err == nil {
		var mt *material
		if mt, err = ks.read(); err == nil {
			ks.current = mt
			ks.stamps = stamps
		}
	}
	ks.reloadErr = err
	return ks.current
}

// Err returns the error of the last check of the files, nil if it succeeded.
func (ks *Keys) Err() error {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	return ks.reloadErr
}

// ServerTLS returns the configuration of a server whose callers authenticate by other means, such as tokens.
func (ks *Keys) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &ks.latest().certificate, nil
		},
	}
}

// serverConfig returns a configuration that requires a certificate of the authority from every peer. Session tickets
// are off, so that every handshake checks the peer against the current keys.
func (ks *Keys) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			mt := ks.latest()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				NextProtos:             []string{protocol},
				Certificates:           []tls.Certificate{mt.certificate},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              mt.roots,
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// clientConfig returns a configuration that checks that the peer's certificate is signed by the authority. It does not
// verify the peer's address, hence InsecureSkipVerify: peers are identified by certificate, and their IP addresses change
// whenever an instance is replaced.
func (ks *Keys) clientConfig() *tls.Config {
	mt := ks.latest()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{protocol},
		Certificates:           []tls.Certificate{mt.certificate},
		InsecureSkipVerify:     true,
		VerifyConnection:       mt.verify,
		SessionTicketsDisabled: true,
	}
}

// verify checks the peer's certificate chain, on the dialling and on the listening side.
func (mt *material) verify(cs tls.ConnectionState) error {
	if len(cs.PeerCertificates) == 0 {
		return BadKeys.New("peers: the peer sent no certificate; give all instances keys of one authority")
	}
	intermediates := x509.NewCertPool()
	for _, ct := range cs.PeerCertificates[1:] {
		intermediates.AddCert(ct)
	}
	_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         mt.roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return BadKeys.Wrap(err, "peers: the peer's certificate is not signed by our authority; give all instances keys of one authority")
	}
	return nil
}

// peerName returns the first DNS name of the peer's certificate, or else the common name of its subject.
func peerName(cs tls.ConnectionState) string {
	ct := cs.PeerCertificates[0]
	if len(ct.DNSNames) > 0 {
		return ct.DNSNames[0]
	}
	return ct.Subject.CommonName
}
