package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

const (
	authorityValidity   = 10 * 365 * 24 * time.Hour
	certificateValidity = 365 * 24 * time.Hour
	// backdate makes certificates valid for machines whose clocks are behind.
	backdate   = time.Hour
	serialBits = 128
	fileMode   = 0o600
	dirMode    = 0o700
)

// Names of the files that Write and Issue write.
const (
	FileAuthority = "ca.pem"
	suffixCert    = ".pem"
	suffixKey     = "-key.pem"
)

// Authority is a certificate authority for development and tests.
type Authority struct {
	cert *x509.Certificate
	der  []byte
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key and a certificate that it signed itself.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "keys: generate")
	}
	template := &x509.Certificate{
		SerialNumber: newSerial(), Subject: pkix.Name{CommonName: "junctioncross development authority"},
		NotBefore: now.Add(-backdate), NotAfter: now.Add(authorityValidity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "keys: sign authority")
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert: cert, der: der, key: key}, errors.Wrap(err, "keys: parse authority")
}

func newSerial() *big.Int {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		panic(err)
	}
	return n
}

// Write writes the authority's certificate into a directory, which it creates if needed. The private key is not written.
func (a *Authority) Write(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return errors.Wrap(err, "keys")
	}
	return writePEM(filepath.Join(dir, FileAuthority), "CERTIFICATE", a.der)
}

// Issue writes a new certificate and private key for an identity into a directory, as NAME.pem and NAME-key.pem.
func (a *Authority) Issue(dir string, id Identity, now time.Time) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "keys: generate")
	}
	template := certificateTemplate(id, now)
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return errors.Wrap(err, "keys: sign")
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "keys: encode key")
	}
	if err := writePEM(filepath.Join(dir, id.name+suffixKey), "PRIVATE KEY", private); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, id.name+suffixCert), "CERTIFICATE", der)
}

// FilesOf returns the paths under which Write and Issue have written the files of the holder of that name into a directory.
func FilesOf(dir, name string) Files {
	return Files{
		Authority:   filepath.Join(dir, FileAuthority),
		Certificate: filepath.Join(dir, name+suffixCert),
		Key:         filepath.Join(dir, name+suffixKey),
	}
}

// certificateTemplate returns the template of the certificate of an identity, for both ends of TLS connections.
func certificateTemplate(id Identity, now time.Time) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: newSerial(), Subject: pkix.Name{CommonName: id.name},
		NotBefore: now.Add(-backdate), NotAfter: now.Add(certificateValidity),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		URIs:        []*url.URL{id.uri()},
	}
}

func writePEM(path, kind string, der []byte) error {
	body := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Wrap(os.WriteFile(path, body, fileMode), "keys: write")
}
