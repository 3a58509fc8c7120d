package procs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

// Keys are the files of a certificate that the authority of a fleet has signed.
type Keys struct {
	Cert      string
	Key       string
	Authority string
}

const keyLife = time.Hour

// NewKeys makes an authority and a certificate for loopback addresses in a
// folder.
func NewKeys(folder string) (Keys, error) {
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority of the fleet"},
		NotBefore: time.Now().Add(-keyLife), NotAfter: time.Now().Add(keyLife),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Keys{}, eris.Wrap(err, "key")
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "instance"},
		NotBefore: authority.NotBefore, NotAfter: authority.NotAfter,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	leafKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Keys{}, eris.Wrap(err, "key")
	}
	k := Keys{
		Cert: filepath.Join(folder, "cert.pem"), Key: filepath.Join(folder, "key.pem"),
		Authority: filepath.Join(folder, "authority.pem"),
	}
	if err := sign(k.Authority, authority, authority, &authorityKey.PublicKey, authorityKey); err != nil {
		return k, err
	}
	if err := sign(k.Cert, leaf, authority, &leafKey.PublicKey, authorityKey); err != nil {
		return k, err
	}
	der, err := x509.MarshalECPrivateKey(leafKey)
	if err != nil {
		return k, eris.Wrap(err, "key")
	}
	return k, writePEM(k.Key, "EC PRIVATE KEY", der)
}

func sign(file string, certificate, by *x509.Certificate, public *ecdsa.PublicKey, key *ecdsa.PrivateKey) error {
	der, err := x509.CreateCertificate(rand.Reader, certificate, by, public, key)
	if err != nil {
		return eris.Wrap(err, "certificate")
	}
	return writePEM(file, "CERTIFICATE", der)
}

func writePEM(file, kind string, der []byte) error {
	err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
	return eris.Wrap(err, "PEM file")
}
