// Package certs creates a certificate authority and instance certificates for tests and the demonstration. A production
// fleet uses certificates of its own.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

const (
	// validity is the time from now until a certificate expires.
	validity = 24 * time.Hour
	// backdate is how long before now a certificate becomes valid, so that machines whose clocks differ accept it.
	backdate = time.Hour
)

// Authority signs instance certificates.
type Authority struct {
	// Certificate is the authority's own certificate in PEM.
	Certificate []byte
	parsed      *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Pair is a certificate with its private key, both in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// New returns an authority with a new key.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := newTemplate("dandelionsail authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	parsed, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, err
	}
	return &Authority{Certificate: encode("CERTIFICATE", raw), parsed: parsed, key: key}, nil
}

func newTemplate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
	}
}

func encode(kind string, raw []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})
}

// Issue returns a certificate, with its key, for an instance's name.
func (au *Authority) Issue(name string) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, err
	}
	template := newTemplate(name)
	template.DNSNames = []string{name}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	raw, err := x509.CreateCertificate(rand.Reader, template, au.parsed, &key.PublicKey, au.key)
	if err != nil {
		return Pair{}, err
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, err
	}
	return Pair{Certificate: encode("CERTIFICATE", raw), Key: encode("PRIVATE KEY", private)}, nil
}

// Files holds the paths of an instance's PEM files: the authority's certificate, and its own certificate and private key.
type Files struct{ CA, Certificate, Key string }

// Write issues a certificate for the name and writes it, its key and the authority's certificate into the directory.
func (au *Authority) Write(dir, name string) (Files, error) {
	pair, err := au.Issue(name)
	if err != nil {
		return Files{}, err
	}
	fs := Files{
		CA:          filepath.Join(dir, "ca.pem"),
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+".key"),
	}
	contents := map[string][]byte{fs.CA: au.Certificate, fs.Certificate: pair.Certificate, fs.Key: pair.Key}
	for path, content := range contents {
		if err := os.WriteFile(path, content, 0o600); err != nil {
			return Files{}, err
		}
	}
	return fs, nil
}
