package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// checkInterval is how long a loaded certificate is used before the files are checked for changes again.
const checkInterval = 10 * time.Second

// Files holds the paths of the PEM files of one certificate holder.
type Files struct {
	Authority   string
	Certificate string
	Key         string
}

// CertReloader holds the certificate of this process and that of its authority, and loads the files again when the certificate
// file has changed. It implements link.Trust. It is safe for concurrent use.
type CertReloader struct {
	files Files

	mu    sync.Mutex
	cert  *tls.Certificate
	roots *x509.CertPool
	// checkedAt is when the files were last loaded or checked for changes.
	checkedAt time.Time
	// modTime is the modification time of the loaded certificate file.
	modTime time.Time
}

// NewCertReloader loads the files; the error names the file that is missing or invalid.
func NewCertReloader(files Files) (*CertReloader, error) {
	r := &CertReloader{files: files}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *CertReloader) load() error {
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

// certificateModTime returns the modification time of the certificate file, or the zero time if that cannot be read.
func (r *CertReloader) certificateModTime() time.Time {
	info, err := os.Stat(r.files.Certificate)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// current returns the certificate and the authority, loaded again if the certificate file has changed. If loading fails, the
// former ones stay in use.
func (r *CertReloader) current() (*tls.Certificate, *x509.CertPool) {
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

// Server returns the TLS configuration of a listener that requires a client certificate of the same authority.
func (r *CertReloader) Server(protocols ...string) *tls.Config {
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

// Client returns the TLS configuration for connections to peers that have a certificate of the same authority, whatever their
// address.
func (r *CertReloader) Client(protocols ...string) *tls.Config {
	cert, roots := r.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: protocols, Certificates: []tls.Certificate{*cert},
		// The IP addresses of instances change, so the certificate chain is verified without a host name, in VerifyConnection.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state.PeerCertificates, roots)
		},
	}
}

func verifyChain(chain []*x509.Certificate, roots *x509.CertPool) error {
	if len(chain) == 0 {
		return errors.New("keys: peer presented no certificate")
	}
	_, err := chain[0].Verify(x509.VerifyOptions{Roots: roots, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	return errors.Wrap(err, "keys: peer")
}

// Callers returns the TLS configuration of a listener for callers, who need no client certificate.
func (r *CertReloader) Callers() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := r.current()
			return cert, nil
		},
	}
}
