package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// checkInterval is how long a loaded certificate is used before the files are looked at again.
const checkInterval = 10 * time.Second

// Files names the files of one holder.
type Files struct {
	Authority   string
	Certificate string
	Key         string
}

// Ring holds the certificate and authority of this process and reads the files again when they change.
type Ring struct {
	files Files

	mu        sync.Mutex
	cert      *tls.Certificate
	roots     *x509.CertPool
	checkedAt time.Time
	modTime   time.Time
}

// NewRing loads the files; it returns an error that names the file that cannot be used.
func NewRing(files Files) (*Ring, error) {
	r := &Ring{files: files}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Ring) load() error {
	cert, err := tls.LoadX509KeyPair(r.files.Certificate, r.files.Key)
	if err != nil {
		return errors.Wrapf(err, "keys: certificate %s", r.files.Certificate)
	}
	body, err := os.ReadFile(r.files.Authority)
	if err != nil {
		return errors.Wrap(err, "keys: authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(body) {
		return errors.Errorf("keys: authority %s holds no certificate", r.files.Authority)
	}
	r.cert, r.roots, r.checkedAt, r.modTime = &cert, roots, time.Now(), r.certificateModTime()
	return nil
}

func (r *Ring) certificateModTime() time.Time {
	info, err := os.Stat(r.files.Certificate)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// current returns the certificate and authority, loading them again when the files have changed.
func (r *Ring) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checkedAt) > checkInterval {
		r.checkedAt = time.Now()
		if modTime := r.certificateModTime(); !modTime.Equal(r.modTime) {
			_ = r.load()
		}
	}
	return r.cert, r.roots
}

// Server returns settings for a listener that demands a certificate of the same authority.
func (r *Ring) Server(protocols ...string) *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: protocols}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, roots := r.current()
		return &tls.Config{
			MinVersion: tls.VersionTLS13, NextProtos: protocols,
			Certificates: []tls.Certificate{*cert}, ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert,
		}, nil
	}
	return base
}

// Client returns settings for connections to holders of certificates of the same authority, whatever their address.
func (r *Ring) Client(protocols ...string) *tls.Config {
	cert, roots := r.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: protocols, Certificates: []tls.Certificate{*cert},
		// Instances are reached by IP numbers that change, so the chain is verified here without a host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state.PeerCertificates, roots)
		},
	}
}

func verifyChain(chain []*x509.Certificate, roots *x509.CertPool) error {
	if len(chain) == 0 {
		return errors.New("keys: peer showed no certificate")
	}
	_, err := chain[0].Verify(x509.VerifyOptions{Roots: roots, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	return errors.Wrap(err, "keys: peer")
}

// Callers returns settings for a listener that shows its certificate and asks callers for none.
func (r *Ring) Callers() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := r.current()
			return cert, nil
		},
	}
}
