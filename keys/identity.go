package keys

import (
	"crypto/x509"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// Role determines what the holder of a certificate may do.
type Role string

// Roles of certificate holders.
const (
	RoleInstance Role = "instance"
	RoleOperator Role = "operator"
	RoleViewer   Role = "viewer"
)

const uriScheme = "jx"

// Identity is the holder of a certificate. The certificate contains it as a URI such as jx://instance/east/a1.
type Identity struct {
	role   Role
	domain string
	name   string
}

// NewIdentity returns an identity; domain is empty unless the role is RoleInstance.
func NewIdentity(role Role, domain, name string) Identity {
	return Identity{role: role, domain: domain, name: name}
}

// Role returns the holder's role.
func (i Identity) Role() Role { return i.role }

// Domain returns the failure domain of an instance.
func (i Identity) Domain() string { return i.domain }

// Name returns the holder's name.
func (i Identity) Name() string { return i.name }

func (i Identity) uri() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: string(i.role), Path: "/" + i.domain + "/" + i.name}
}

// IdentityOf returns the identity in a certificate, which the caller has verified, or an error if it contains none.
func IdentityOf(c *x509.Certificate) (Identity, error) {
	for _, u := range c.URIs {
		parts := strings.Split(strings.TrimPrefix(u.Path, "/"), "/")
		if u.Scheme == uriScheme && len(parts) == 2 {
			return Identity{role: Role(u.Host), domain: parts[0], name: parts[1]}, nil
		}
	}
	return Identity{}, errors.New("keys: certificate contains no identity")
}
