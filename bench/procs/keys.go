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

// TLSFiles holds the paths of a certificate, its private key and the certificate
// of the authority that signed it.
type TLSFiles struct {
	Cert      string
	Key       string
	Authority string
}

const certLifetime = time.Hour

// GenerateTLSFiles creates an authority and a certificate for 127.0.0.1 that it
// signs, and writes both to a folder.
func GenerateTLSFiles(folder string) (TLSFiles, error) {
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority of the fleet"},
		NotBefore: time.Now().Add(-certLifetime), NotAfter: time.Now().Add(certLifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return TLSFiles{}, eris.Wrap(err, "generate key of the authority")
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
		return TLSFiles{}, eris.Wrap(err, "generate key of the instance")
	}
	files := TLSFiles{
		Cert: filepath.Join(folder, "cert.pem"), Key: filepath.Join(folder, "key.pem"),
		Authority: filepath.Join(folder, "authority.pem"),
	}
	if err := writeCertificate(files.Authority, authority, authority, &authorityKey.PublicKey, authorityKey); err != nil {
		return files, err
	}
	if err := writeCertificate(files.Cert, leaf, authority, &leafKey.PublicKey, authorityKey); err != nil {
		return files, err
	}
	der, err := x509.MarshalECPrivateKey(leafKey)
	if err != nil {
		return files, eris.Wrap(err, "encode key of the instance")
	}
	return files, writePEM(files.Key, "EC PRIVATE KEY", der)
}

func writeCertificate(file string, certificate, issuer *x509.Certificate, public *ecdsa.PublicKey, issuerKey *ecdsa.PrivateKey) error {
	der, err := x509.CreateCertificate(rand.Reader, certificate, issuer, public, issuerKey)
	if err != nil {
		return eris.Wrap(err, "create certificate")
	}
	return writePEM(file, "CERTIFICATE", der)
}

func writePEM(file, blockType string, der []byte) error {
	err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600)
	return eris.Wrap(err, "write PEM file")
}
