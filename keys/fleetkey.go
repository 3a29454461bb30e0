package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"time"

	"github.com/pkg/errors"
)

// NewFleetKey returns a certificate with its private key, in PEM, by which all instances of a fleet authenticate to each other.
// It must be stored where only instances can read it.
func NewFleetKey(now time.Time) ([]byte, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "keys: generate")
	}
	template := certificateTemplate(NewIdentity(RoleInstance, "", "fleet"), now)
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "keys: sign")
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, errors.Wrap(err, "keys: encode key")
	}
	body := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return append(body, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private})...), nil
}

// FleetKey authenticates instances by a certificate and private key that all instances of the fleet share: a peer that presents
// the same certificate, and proves that it holds the private key, is an instance. It implements link.Trust.
type FleetKey struct {
	// source returns the key in the form of NewFleetKey, or nothing while the key is not known.
	source func() []byte
}

// NewFleetKeyFrom returns a FleetKey that reads the key from source for each connection; source returns nothing while the key
// is not known.
func NewFleetKeyFrom(source func() []byte) *FleetKey { return &FleetKey{source: source} }

// Server implements link.Trust.
func (k *FleetKey) Server(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c, err := k.config(protocols)
			if err == nil {
				c.ClientAuth = tls.RequireAnyClientCert
			}
			return c, err
		},
	}
}

// Client implements link.Trust.
func (k *FleetKey) Client(protocols ...string) *tls.Config {
	c, err := k.config(protocols)
	if err != nil {
		return &tls.Config{
			MinVersion: tls.VersionTLS13, NextProtos: protocols, InsecureSkipVerify: true,
			VerifyConnection: func(tls.ConnectionState) error { return err },
		}
	}
	return c
}

func (k *FleetKey) config(protocols []string) (*tls.Config, error) {
	body := k.source()
	if len(body) == 0 {
		return nil, errors.New("keys: the fleet key is not known yet")
	}
	cert, err := tls.X509KeyPair(body, body)
	if err != nil {
		return nil, errors.Wrap(err, "keys: the fleet key")
	}
	own := fingerprintOf(cert.Certificate[0])
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: protocols, Certificates: []tls.Certificate{cert},
		// There is no certificate authority: VerifyConnection accepts only the fleet's own certificate.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return verifySameCertificate(state.PeerCertificates, own) },
	}, nil
}

func verifySameCertificate(chain []*x509.Certificate, own string) error {
	if len(chain) == 0 {
		return errors.New("keys: peer presented no certificate")
	}
	if fingerprintOf(chain[0].Raw) != own {
		return errors.New("keys: peer presented a certificate other than the fleet's")
	}
	return nil
}

func fingerprintOf(der []byte) string {
	sum := sha256.Sum256(der)
	return hex.EncodeToString(sum[:])
}
