package fleet

import (
	"path/filepath"
	"time"

	"junctioncross/keys"
	"junctioncross/operator"
)

// OperatorName is the name in the operator's certificate of a fleet.
const OperatorName = "operator"

func (f *Fleet) keyDir() string { return filepath.Join(f.dir, "keys") }

// makeKeys writes the certificates and keys of the entry instances and of the operator.
func (f *Fleet) makeKeys() error {
	now := time.Now()
	a, err := keys.NewAuthority(now)
	if err != nil {
		return err
	}
	if err := a.Write(f.keyDir()); err != nil {
		return err
	}
	for _, e := range f.entries {
		if err := a.Issue(f.keyDir(), keys.NewIdentity(keys.RoleInstance, e.Domain, e.Name), now); err != nil {
			return err
		}
	}
	return a.Issue(f.keyDir(), keys.NewIdentity(keys.RoleOperator, "", OperatorName), now)
}

// Operator returns an operator's client of an entry instance.
func (f *Fleet) Operator(e *Entry) (*operator.Client, error) {
	certs, err := keys.NewCertReloader(keys.FilesOf(f.keyDir(), OperatorName))
	if err != nil {
		return nil, err
	}
	return operator.NewClient(e.Ops, certs), nil
}
