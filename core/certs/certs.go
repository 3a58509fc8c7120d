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

// Files lists the PEM files of a process.
type Files struct {
	Cert      string
	Key       string
	Authority string // CA certificates that sign the peers; empty: none, and no client certificates are required
}

type credentials struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// Certs holds the current certificate, key and authority.
type Certs struct {
	files   Files
	current atomic.Pointer[credentials]
}

// PeerError is returned when the certificate of a peer is rejected.
type PeerError struct{ Reason string }

// Error returns the reason.
func (e *PeerError) Error() string { return "peer certificate: " + e.Reason }

// New loads the files.
func New(files Files) (*Certs, error) {
	c := &Certs{files: files}
	if err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reads the files again. If one of them is invalid, all of the previous
// ones stay in use. Open connections are not affected.
func (c *Certs) Reload() error {
	cert, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
	if err != nil {
		return eris.Wrap(err, "load certificate and key")
	}
	creds := &credentials{cert: cert}
	if c.files.Authority != "" {
		if creds.roots, err = loadCertPool(c.files.Authority); err != nil {
			return err
		}
	}
	c.current.Store(creds)
	return nil
}

// Watch reloads the files at the given interval until ctx ends and calls onError
// for each failure.
func (c *Certs) Watch(ctx context.Context, interval time.Duration, onError func(error)) {
	pace.Every(ctx, interval, func() {
		if err := c.Reload(); err != nil {
			onError(err)
		}
	})
}

// ServerConfig returns the TLS configuration of a server. With an authority,
// clients must present a certificate that it signed.
func (c *Certs) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			creds := c.current.Load()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{creds.cert},
			}
			if creds.roots != nil {
				config.ClientCAs = creds.roots
				config.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return config, nil
		},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &c.current.Load().cert, nil },
	}
}

// ClientConfig returns the TLS configuration for connections to other processes
// of the fleet. Without an authority every handshake fails.
func (c *Certs) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"http/1.1"}, // WebSocket runs over HTTP/1.1
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.current.Load().cert, nil
		},
		// VerifyConnection verifies the chain against the current authority. The
		// built-in verification would keep using the authority that was loaded when
		// the configuration was made.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verifyPeer,
	}
}

func (c *Certs) verifyPeer(state tls.ConnectionState) error {
	creds := c.current.Load()
	if creds.roots == nil {
		return &PeerError{Reason: "no authority is set"}
	}
	if len(state.PeerCertificates) == 0 {
		return &PeerError{Reason: "is missing"}
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: creds.roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return &PeerError{Reason: err.Error()}
	}
	return nil
}

// PublicServerConfig returns the TLS configuration of a server that asks its
// clients for no certificate, such as an administration interface whose clients
// present tokens.
func (c *Certs) PublicServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &c.current.Load().cert, nil },
	}
}

// NewClientConfig returns the TLS configuration of a client that presents no
// certificate and trusts servers whose certificate the authority signed.
func NewClientConfig(authority string) (*tls.Config, error) {
	roots, err := loadCertPool(authority)
	if err != nil {
		return nil, err
	}
	c := &Certs{}
	c.current.Store(&credentials{roots: roots})
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		// VerifyConnection verifies the chain but not the host name or address, as
		// in ClientConfig.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verifyPeer,
	}, nil
}

func loadCertPool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read authority file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("authority file %s contains no certificate", file)
	}
	return pool, nil
}
