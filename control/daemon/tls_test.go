package daemon_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/certs"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/wire"
)

// makeCerts writes a self-signed certificate, which is its own authority.
func makeCerts(t *testing.T) certs.Files {
	is := is.New(t)
	dir := t.TempDir()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	der, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	files := certs.Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authority: filepath.Join(dir, "cert.pem")}
	is.NoErr(os.WriteFile(files.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), 0o600))
	is.NoErr(os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}), 0o600))
	return files
}

// Guards against replicas that do not link with TLS, or that accept links without a
// certificate of the fleet.
func TestGroupOverTLS(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	files := makeCerts(t)
	trust, err := certs.NewClientConfig(files.Authority)
	is.NoErr(err)
	group := startGroupWith(t, 3, func(r *replica) {
		r.settings.Cert, r.settings.Key, r.settings.Authority = files.Cert, files.Key, files.Authority
		r.scheme, r.client = "https", &http.Client{Transport: &http.Transport{TLSClientConfig: trust, DisableKeepAlives: true}}
	}, nil)
	is.Equal(group[0].submitUntilAnswered(0, "first", serviceText(1))["revision"], 1.0)
	is.Equal(group[1].submitUntilAnswered(1, "second", serviceText(2))["revision"], 2.0)

	stranger := link.WithHello(func() wire.Hello { return wire.Hello{Fleet: fleetName(t), Instance: "x", Role: wire.RoleEntry} })
	other, err := certs.New(makeCerts(t))
	is.NoErr(err)
	_, err = link.NewDialer(stranger).Dial(t.Context(), group[0].settings.Peer)
	is.True(err != nil)
	_, err = link.NewDialer(stranger, link.WithTLS(other.ClientConfig())).Dial(t.Context(), group[0].settings.Peer)
	is.True(err != nil)
}
