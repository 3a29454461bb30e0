package view

import (
	"crypto/sha256"
	"encoding/hex"
	"sync/atomic"

	"junctioncross/intent"
	"junctioncross/revision"
	"junctioncross/route"
	"junctioncross/share"
)

// Account is a client account with the group that it belongs to.
type Account struct {
	name  string
	group *intent.Group
	owner share.Owner
}

// Name returns the account's name.
func (a *Account) Name() string { return a.name }

// Owner returns the names and weights of the account and its group, by which package share orders requests.
func (a *Account) Owner() share.Owner { return a.owner }

// Models returns the names of the models that the account may use.
func (a *Account) Models() []string { return a.group.Models }

// Allows reports whether the account may use the model.
func (a *Account) Allows(model string) bool { return a.group.Allows(model) }

// Index is one configuration, indexed for look-ups of accounts by bearer key.
type Index struct {
	revision revision.Number
	document *intent.Document
	accounts map[string]*Account
}

// NewIndex returns the index of a configuration.
func NewIndex(f *revision.InForce) *Index {
	d := f.Document()
	x := &Index{revision: f.Head().Revision, document: d, accounts: make(map[string]*Account, len(d.Accounts))}
	groups := map[string]*intent.Group{}
	for i := range d.Groups {
		groups[d.Groups[i].Name] = &d.Groups[i]
	}
	for i := range d.Accounts {
		a := &d.Accounts[i]
		g := groups[a.Group]
		x.accounts[a.KeyHash] = &Account{
			name: a.Name, group: g,
			owner: share.Owner{Group: g.Name, GroupWeight: g.Weight, Account: a.Name, AccountWeight: a.Weight},
		}
	}
	return x
}

// Revision returns the configuration's revision number.
func (x *Index) Revision() revision.Number { return x.revision }

// Document returns the configuration, which must not be changed.
func (x *Index) Document() *intent.Document { return x.document }

// Account returns the account of a bearer key, or nil if there is none.
func (x *Index) Account(key string) *Account { return x.accounts[HashKey(key)] }

// HashKey returns the hash by which the configuration names a bearer key: SHA-256 in hexadecimal.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Snapshot is the configuration and the backend servers that the request path uses at one moment.
type Snapshot struct {
	index  *Index
	graphs map[string]*route.Graph
}

// NewSnapshot returns a Snapshot of a configuration's index and the graphs of the models' servers, by the names of the models.
func NewSnapshot(index *Index, graphs map[string]*route.Graph) *Snapshot {
	return &Snapshot{index: index, graphs: graphs}
}

// Index returns the configuration's index, or nil before the first configuration.
func (s *Snapshot) Index() *Index { return s.index }

// Graph returns the graph of a model's servers, or nil if there is none.
func (s *Snapshot) Graph(model string) *route.Graph { return s.graphs[model] }

// SnapshotHolder holds the current snapshot; it is safe for concurrent use.
type SnapshotHolder struct {
	current atomic.Pointer[Snapshot]
}

// NewSnapshotHolder returns a SnapshotHolder with an empty snapshot.
func NewSnapshotHolder() *SnapshotHolder {
	b := &SnapshotHolder{}
	b.current.Store(&Snapshot{})
	return b
}

// Current returns the current snapshot.
func (b *SnapshotHolder) Current() *Snapshot { return b.current.Load() }

// Publish makes a snapshot the current one.
func (b *SnapshotHolder) Publish(s *Snapshot) { b.current.Store(s) }
