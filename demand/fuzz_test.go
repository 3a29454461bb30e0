package demand

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// message is what arrives from other instances.
type message struct {
	Name    string        `cbor:"1,keyasint"`
	Reports []Report      `cbor:"2,keyasint"`
	Totals  []Totals      `cbor:"3,keyasint"`
	Age     time.Duration `cbor:"4,keyasint"`
}

func encodedMessage(t testing.TB) []byte {
	encoded, err := cbor.Marshal(message{
		Name: "a", Reports: []Report{reportOf(9, 1, 300)}, Age: time.Second,
		Totals: []Totals{{Service: "chat", Domain: "east", Instances: 3, Ends: Ends{1, 2, 3}, Classes: []Rates{{Offered: 2}}}},
	})
	require.NoError(t, err)
	return encoded
}

// addEncoded decodes a message, adds it to a book that holds other reports, and checks the totals.
func addEncoded(t *testing.T, encoded []byte) {
	var m message
	if cbor.Unmarshal(encoded, &m) != nil {
		return
	}
	b := NewBook("east")
	b.AddReports("other", []Report{reportOf(9, 1, 300)}, 0, start)
	b.AddReports(m.Name, m.Reports, m.Age, start)
	b.AddTotals(m.Totals, start)
	require.LessOrEqual(t, b.Reporters(start), 2)
	for _, totals := range append(b.All(start), b.LocalTotals(start)...) {
		require.Empty(t, totals.fault())
		for _, n := range totals.Ends {
			require.False(t, math.IsNaN(n) || n < 0)
		}
	}
}

func FuzzMessage(f *testing.F) {
	f.Add(encodedMessage(f))
	f.Fuzz(addEncoded)
}

// TestDamagedMessagesNeverSpoilTotals changes random bytes of a message.
func TestDamagedMessagesNeverSpoilTotals(t *testing.T) {
	const messages = 20000
	random, whole := rand.New(rand.NewPCG(1, 1)), encodedMessage(t)
	for range messages {
		damaged := append([]byte(nil), whole...)
		for range 1 + random.IntN(4) {
			damaged[random.IntN(len(damaged))] = byte(random.Uint32())
		}
		addEncoded(t, damaged[:len(damaged)-random.IntN(2)])
	}
}
