package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/core/pace"
)

// Files names the PEM files of one process.
type Files struct {
	Cert      string
	Key       string
	Authority string // certificates that peers must be signed by; empty: no client certificates
}

type material struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// Certs holds the current key and authority.
type Certs struct {
	files Files
	now   atomic.Pointer[material]
}

// PeerError is a peer whose certificate is refused.
type PeerError struct{ Reason string }

// Error gives the reason.
func (e *PeerError) Error() string { return "peer certificate: " + e.Reason }

// New reads the files.
func New(files Files) (*Certs, error) {
	c := &Certs{files: files}
	if err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reads the files again. When one is faulty the material read before
// stays in use. Connections that are open are not affected.
func (c *Certs) Reload() error {
	cert, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
	if err != nil {
		return eris.Wrap(err, "certificate")
	}
	m := &material{cert: cert}
	if c.files.Authority != "" {
		if m.roots, err = readPool(c.files.Authority); err != nil {
			return err
		}
	}
	c.now.Store(m)
	return nil
}

// Watch reloads the files at intervals until ctx ends and reports each failure.
func (c *Certs) Watch(ctx context.Context, every time.Duration, failed func(error)) {
	pace.Every(ctx, every, func() {
		if err := c.Reload(); err != nil {
			failed(err)
		}
	})
}

// Server returns the configuration of a server. With an authority, clients
// must present a certificate that it signed.
func (c *Certs) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := c.now.Load()
			conf := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{m.cert},
			}
			if m.roots != nil {
				conf.ClientCAs = m.roots
				conf.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return conf, nil
		},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &c.now.Load().cert, nil },
	}
}

// Client returns the configuration for links to other processes of the fleet.
// It needs an authority.
func (c *Certs) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"http/1.1"}, // WebSocket runs over HTTP/1.1
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.now.Load().cert, nil
		},
		// The chain is verified below against the current authority; the
		// standard check would hold on to the one read first.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verify,
	}
}

func (c *Certs) verify(state tls.ConnectionState) error {
	m := c.now.Load()
	if m.roots == nil {
		return &PeerError{Reason: "no authority is set"}
	}
	if len(state.PeerCertificates) == 0 {
		return &PeerError{Reason: "is missing"}
	}
	between := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		between.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: m.roots, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return &PeerError{Reason: err.Error()}
	}
	return nil
}

// Public returns the configuration of a server whose clients need no
// certificate, because they present tokens.
func (c *Certs) Public() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &c.now.Load().cert, nil },
	}
}

// Trust returns the configuration of a client without a certificate that
// trusts servers signed by an authority.
func Trust(authority string) (*tls.Config, error) {
	roots, err := readPool(authority)
	if err != nil {
		return nil, err
	}
	c := &Certs{}
	c.now.Store(&material{roots: roots})
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		// The chain is verified without the address, as in Client.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verify,
	}, nil
}

func readPool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("authority: %s holds no certificate", file)
	}
	return pool, nil
}
