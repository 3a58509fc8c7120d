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

type certAndKey struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func sign(t *testing.T, template *x509.Certificate, issuer *certAndKey) certAndKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template.SerialNumber = big.NewInt(time.Now().UnixNano())
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	if issuer == nil {
		issuer = &certAndKey{cert: template, key: key}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, issuer.cert, &key.PublicKey, issuer.key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return certAndKey{cert: cert, key: key}
}

func newAuthority(t *testing.T, name string) certAndKey {
	return sign(t, &x509.Certificate{Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}, nil)
}

func writePEM(t *testing.T, file, kind string, der []byte) string {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func issue(t *testing.T, dir string, issuer certAndKey) certs.Files {
	leaf := sign(t, &x509.Certificate{ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}, &issuer)
	key, err := x509.MarshalECPrivateKey(leaf.key)
	if err != nil {
		t.Fatal(err)
	}
	return certs.Files{
		Cert:      writePEM(t, filepath.Join(dir, "cert.pem"), "CERTIFICATE", leaf.cert.Raw),
		Key:       writePEM(t, filepath.Join(dir, "key.pem"), "EC PRIVATE KEY", key),
		Authority: writePEM(t, filepath.Join(dir, "authority.pem"), "CERTIFICATE", issuer.cert.Raw),
	}
}

// Guards against accepting peers whose certificate another authority signed, on
// either side, and against new certificates that take effect only after a
// restart.
func TestMutualTLSAndReload(t *testing.T) {
	is := is.New(t)
	one, two := newAuthority(t, "one"), newAuthority(t, "two")
	serverDir := t.TempDir()
	server, err := certs.New(issue(t, serverDir, one))
	is.NoErr(err)
	client, err := certs.New(issue(t, t.TempDir(), one))
	is.NoErr(err)
	foreign, err := certs.New(issue(t, t.TempDir(), two))
	is.NoErr(err)

	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.TLS = server.ServerConfig()
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
	is.NoErr(get(client.ClientConfig()))
	is.True(get(foreign.ClientConfig()) != nil)

	issue(t, serverDir, two)
	is.NoErr(server.Reload())
	is.True(get(client.ClientConfig()) != nil)
	is.NoErr(get(foreign.ClientConfig()))

	is.NoErr(os.WriteFile(filepath.Join(serverDir, "key.pem"), []byte("nonsense"), 0o600))
	is.True(server.Reload() != nil)
	is.NoErr(get(foreign.ClientConfig()))
}
