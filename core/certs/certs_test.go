package certs_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/certs"
)

type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func sign(t *testing.T, template *x509.Certificate, by *authority) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template.SerialNumber = big.NewInt(time.Now().UnixNano())
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	if by == nil {
		by = &authority{cert: template, key: key}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, by.cert, &key.PublicKey, by.key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{cert: cert, key: key}
}

func newAuthority(t *testing.T, name string) authority {
	return sign(t, &x509.Certificate{Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}, nil)
}

func write(t *testing.T, file, kind string, der []byte) string {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func issue(t *testing.T, dir string, by authority) certs.Files {
	leaf := sign(t, &x509.Certificate{ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}, &by)
	key, err := x509.MarshalECPrivateKey(leaf.key)
	if err != nil {
		t.Fatal(err)
	}
	return certs.Files{
		Cert:      write(t, filepath.Join(dir, "cert.pem"), "CERTIFICATE", leaf.cert.Raw),
		Key:       write(t, filepath.Join(dir, "key.pem"), "EC PRIVATE KEY", key),
		Authority: write(t, filepath.Join(dir, "authority.pem"), "CERTIFICATE", by.cert.Raw),
	}
}

// Guards against peers of another authority on either side, and against new
// keys that need a restart.
func TestMutualAndReload(t *testing.T) {
	is := is.New(t)
	one, two := newAuthority(t, "one"), newAuthority(t, "two")
	serverDir := t.TempDir()
	server, err := certs.New(issue(t, serverDir, one))
	is.NoErr(err)
	client, err := certs.New(issue(t, t.TempDir(), one))
	is.NoErr(err)
	stranger, err := certs.New(issue(t, t.TempDir(), two))
	is.NoErr(err)

	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.TLS = server.Server()
	s.StartTLS()
	defer s.Close()
	get := func(c *tls.Config) error {
		transport := &http.Transport{TLSClientConfig: c, DisableKeepAlives: true}
		resp, err := (&http.Client{Transport: transport}).Get(s.URL)
		if err == nil {
			resp.Body.Close()
		}
		return err
	}
	is.NoErr(get(client.Client()))
	is.True(get(stranger.Client()) != nil)

	issue(t, serverDir, two)
	is.NoErr(server.Reload())
	is.True(get(client.Client()) != nil)
	is.NoErr(get(stranger.Client()))

	is.NoErr(os.WriteFile(filepath.Join(serverDir, "key.pem"), []byte("nonsense"), 0o600))
	is.True(server.Reload() != nil)
	is.NoErr(get(stranger.Client()))
}
