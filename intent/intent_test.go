package intent_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/intent"
)

const firstIntent = `why: start
changes:
- model: {name: m, layers: 8, version: v1}
- kind: {name: k, layer_us: 100, sequence_us: 5, max_batch: 8, max_layers: 8}
- group: {name: g, weight: 1, models: [m]}
- account: {name: a, group: g, weight: 1, key_hash: "` + hash1 + `"}
- add_backend: {name: s, addr: "127.0.0.1:1", domain: d, kind: k}
`

const hash1 = "0000000000000000000000000000000000000000000000000000000000000001"

func newDocument(t *testing.T) *intent.Document {
	why, changes, err := intent.Parse("f", []byte(firstIntent))
	require.NoError(t, err)
	require.Equal(t, "start", why)
	d, problems := intent.Apply(&intent.Document{}, changes)
	require.Empty(t, problems)
	return d
}

func TestParseReportsEveryMistake(t *testing.T) {
	tests := map[string]string{
		"f:1: why: is missing":                       "changes:\n- rebalance: {}\n",
		"accepted: exactly one":                      "why: x\nchanges:\n- {}\n",
		"f:3: changes[0].sharo: unknown key":         "why: x\nchanges:\n- sharo: {}\n",
		"changes[0].share.weight: accepted: more":    "why: x\nchanges:\n- share: {group: g, weight: 0}\n",
		"changes[0].add_backend.addr: accepted: an ": "why: x\nchanges:\n- add_backend: {name: s, addr: here, domain: d, kind: k}\n",
		"changes: accepted: at least 1":              "why: x\n",
	}
	for want, body := range tests {
		_, _, err := intent.Parse("f", []byte(body))
		require.ErrorContains(t, err, want)
	}
}

func TestApplyReportsEveryDanglingReference(t *testing.T) {
	d := newDocument(t)
	_, problems := intent.Apply(d, []intent.Change{
		&intent.Grant{Group: "g", Model: "none"}, &intent.Grant{Group: "nobody", Model: "m"},
		&intent.Revoke{Group: "g", Model: "other"}, &intent.SetShare{Group: "nobody", Weight: 1},
		&intent.RetireBackend{Name: "nothing"}, &intent.RemoveAccount{Name: "nobody"},
		&intent.AddBackend{Backend: intent.Backend{Name: "s", Kind: "k"}},
		&intent.AddBackend{Backend: intent.Backend{Name: "s2", Kind: "unknown"}},
		&intent.AddAccount{Account: intent.Account{Name: "b", Group: "nobody", KeyHash: hash1}},
	})
	var all []string
	for _, p := range problems {
		all = append(all, p.Error())
	}
	text := strings.Join(all, "\n")
	for _, want := range []string{
		"no model none", "no group nobody", "group g may not use model other", "no backend server nothing", "no account nobody",
		"backend server s exists", "no kind unknown", "account b: has the key of account a",
	} {
		require.Contains(t, text, want)
	}
}

func TestApplyDoesNotModifyTheOldDocument(t *testing.T) {
	d := newDocument(t)
	next, problems := intent.Apply(d, []intent.Change{
		&intent.AddModel{Model: intent.Model{Name: "n", Layers: 2, Version: "v1"}},
		&intent.Grant{Group: "g", Model: "n"}, &intent.SetShare{Group: "g", Weight: 5}, &intent.RetireBackend{Name: "s"},
	})
	require.Empty(t, problems)
	require.True(t, next.Group("g").Allows("n"))
	require.False(t, d.Group("g").Allows("n"))
	require.InDelta(t, 1, d.Group("g").Weight, 0)
	require.True(t, next.Backend("s").Retiring)
	require.False(t, d.Backend("s").Retiring)
	last, problems := intent.Apply(next, []intent.Change{&intent.Revoke{Group: "g", Model: "n"}, &intent.RemoveAccount{Name: "a"}})
	require.Empty(t, problems)
	require.Nil(t, last.Account("a"))
	require.NotNil(t, next.Account("a"))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(firstIntent))
	f.Add([]byte("why: x\nchanges:\n- share: {group: g, weight: 0}\n"))
	f.Add([]byte("changes: *a\n"))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(_ *testing.T, body []byte) {
		_, _, _ = intent.Parse("f", body)
	})
}
