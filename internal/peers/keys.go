package peers

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"
)

// protocol is negotiated in the handshake; a change that older instances cannot follow takes a new one.
const protocol = "dandelionsail/1"

// keysPeriod is the least time between two looks at the files.
const keysPeriod = time.Second

// Keys are what an instance proves itself with and checks its peers against.
type Keys struct {
	// paths are those of the authority's certificate, the own one and its key; all empty if the keys came as bytes, the
	// first alone if nobody's certificate is checked.
	paths   [3]string
	mu      sync.Mutex
	stamps  [3]stamp
	looked  time.Time
	current *material
	failed  error
}

// stamp tells a file's content from an earlier one without reading it.
type stamp struct {
	changed time.Time
	size    int64
}

type material struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// LoadKeys reads the keys from files in PEM, and again whenever the files change. Without an authority they are good for
// ServerTLS only.
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
		return nil, BadKeys.Wrap(err, "peers: certificate and key do not fit; give a PEM certificate and its own key")
	}
	if ca == nil {
		return &material{certificate: pair}, nil
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(ca) {
		return nil, BadKeys.New("peers: the authority's file has no certificate; give it in PEM")
	}
	return &material{certificate: pair, roots: roots}, nil
}

func (ks *Keys) stat() ([3]stamp, error) {
	var stamps [3]stamp
	for i, path := range ks.paths {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return stamps, BadKeys.Wrap(err, "peers: a key file cannot be read; check its path and rights")
		}
		stamps[i] = stamp{info.ModTime(), info.Size()}
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
			return nil, BadKeys.Wrap(err, "peers: a key file cannot be read; check its path and rights")
		}
		contents[i] = content
	}
	return newMaterial(contents[0], contents[1], contents[2])
}

// now returns the keys in force. Files that are being replaced, and so do not fit together for a moment, leave the
// earlier keys in force; they are read again at the next look.
func (ks *Keys) now() *material {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	if ks.paths[1] == "" || time.Since(ks.looked) < keysPeriod {
		return ks.current
	}
	ks.looked = time.Now()
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
	ks.failed = err
	return ks.current
}

// Err returns why the files could not be read at the last look, or nil.
func (ks *Keys) Err() error {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	return ks.failed
}

// ServerTLS is the configuration of a server whose callers prove themselves by other means, such as tokens.
func (ks *Keys) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &ks.now().certificate, nil
		},
	}
}

// serverConfig asks every peer for a certificate of the authority's. Tickets are off, so that a handshake always
// checks the peer against the keys in force.
func (ks *Keys) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			mt := ks.now()
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

// clientConfig checks that the peer's certificate is the authority's. It does not check an address: peers are named
// by certificate, and their IP numbers change with every replacement.
func (ks *Keys) clientConfig() *tls.Config {
	mt := ks.now()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{protocol},
		Certificates:           []tls.Certificate{mt.certificate},
		InsecureSkipVerify:     true,
		VerifyConnection:       mt.verify,
		SessionTicketsDisabled: true,
	}
}

// verify checks a peer's chain for either side of a connection.
func (mt *material) verify(cs tls.ConnectionState) error {
	if len(cs.PeerCertificates) == 0 {
		return BadKeys.New("peers: the peer showed no certificate")
	}
	between := x509.NewCertPool()
	for _, ct := range cs.PeerCertificates[1:] {
		between.AddCert(ct)
	}
	_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         mt.roots,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return BadKeys.Wrap(err, "peers: the peer's certificate is not of our authority; give all instances keys of one authority")
	}
	return nil
}

// peerName is the name that the peer's certificate gives.
func peerName(cs tls.ConnectionState) string {
	ct := cs.PeerCertificates[0]
	if len(ct.DNSNames) > 0 {
		return ct.DNSNames[0]
	}
	return ct.Subject.CommonName
}
