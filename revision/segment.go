package revision

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"junctioncross/intent"
)

// accountBuckets is the number of segments over which the accounts are distributed by a hash of their names. With 20,000 accounts
// each segment stays far below the key-value service's limit of one megabyte.
const accountBuckets = 64

// Segment is one part of a document, encoded, with its content hash.
type Segment struct {
	name string
	hash string
	body []byte
}

// Name returns the segment's name within its document.
func (s Segment) Name() string { return s.name }

// Hash returns the content hash in hexadecimal, as HashOf does.
func (s Segment) Hash() string { return s.hash }

// Body returns the encoded content.
func (s Segment) Body() []byte { return s.body }

// Split encodes a document as segments, sorted by name.
func Split(d *intent.Document) ([]Segment, error) {
	buckets := make([][]intent.Account, accountBuckets)
	for _, a := range d.Accounts {
		b := xxhash.Sum64String(a.Name) % accountBuckets
		buckets[b] = append(buckets[b], a)
	}
	parts := map[string]any{
		"models": d.Models, "groups": d.Groups, "kinds": d.Kinds, "backends": d.Backends, "services": d.Services,
	}
	for i, b := range buckets {
		if len(b) > 0 {
			parts[fmt.Sprintf("accounts/%02d", i)] = b
		}
	}
	out := make([]Segment, 0, len(parts))
	for name, part := range parts {
		body, err := json.Marshal(part)
		if err != nil {
			return nil, errors.Wrap(err, "revision: encode segment")
		}
		out = append(out, newSegment(name, body))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out, nil
}

func newSegment(name string, body []byte) Segment {
	return Segment{name: name, hash: HashOf(body), body: body}
}

// HashOf returns the content hash of a segment's body: its SHA-256 sum in hexadecimal.
func HashOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Join rebuilds a document from the bodies of its segments, which are given by segment name.
func Join(bodies map[string][]byte) (*intent.Document, error) {
	d := &intent.Document{}
	names := make([]string, 0, len(bodies))
	for name := range bodies {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if err := addSegment(d, name, bodies[name]); err != nil {
			return nil, errors.Wrapf(err, "revision: segment %s", name)
		}
	}
	sort.Slice(d.Accounts, func(i, j int) bool { return d.Accounts[i].Name < d.Accounts[j].Name })
	return d, nil
}

func addSegment(d *intent.Document, name string, body []byte) error {
	switch name {
	case "models":
		return json.Unmarshal(body, &d.Models)
	case "groups":
		return json.Unmarshal(body, &d.Groups)
	case "kinds":
		return json.Unmarshal(body, &d.Kinds)
	case "backends":
		return json.Unmarshal(body, &d.Backends)
	case "services":
		return json.Unmarshal(body, &d.Services)
	default:
		var accounts []intent.Account
		err := json.Unmarshal(body, &accounts)
		d.Accounts = append(d.Accounts, accounts...)
		return err
	}
}
