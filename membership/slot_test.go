package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

const relayThreshold = 24

// lowestFree picks the free slot with the lowest number.
func lowestFree(int) int { return 0 }

// recordsIn returns n records of a domain in its first n slots.
func recordsIn(domain string, n int, power float64) []Record {
	out := make([]Record, n)
	for i := range out {
		out[i] = Record{
			Instance: Instance{Name: fmt.Sprint(domain, "-", i), Domain: domain, Power: power}, Slot: Slot{Number: i, Revision: int64(i + 1)},
		}
	}
	return out
}

func TestEveryInstanceOfASmallFleetHasARecord(t *testing.T) {
	records := recordsIn("east", 12, 1)
	slot, ok := chooseSlot(records, Instance{Name: "new", Domain: "east", Power: 0.1}, relayThreshold, lowestFree)
	require.True(t, ok)
	require.Equal(t, Slot{Number: 12}, slot)
}

func TestADomainOfALargeFleetHasFewRecords(t *testing.T) {
	records := append(recordsIn("east", relayCandidates, 1), recordsIn("west", relayThreshold, 1)...)
	_, ok := chooseSlot(records, Instance{Name: "new", Domain: "east", Power: 0.1}, relayThreshold, lowestFree)
	require.False(t, ok, "enough candidates are as strong")
	_, ok = chooseSlot(records[1:], Instance{Name: "new", Domain: "east", Power: 0.1}, relayThreshold, lowestFree)
	require.True(t, ok, "one of the candidates has left")
}

func TestStrongerInstanceReplacesTheWeakestRecord(t *testing.T) {
	records := recordsIn("east", relayThreshold, 0.2)
	records[7].Power = 0.1
	slot, ok := chooseSlot(records, Instance{Name: "new", Domain: "east", Power: 0.8}, relayThreshold, lowestFree)
	require.True(t, ok)
	require.Equal(t, records[7].Slot, slot)
	_, ok = chooseSlot(records, Instance{Name: "new", Domain: "east", Power: 0.1}, relayThreshold, lowestFree)
	require.False(t, ok, "no record is weaker")
}

func TestAnInstanceKeepsItsSlot(t *testing.T) {
	records := recordsIn("east", 3, 1)
	slot, ok := chooseSlot(records, Instance{Name: "east-1", Domain: "east", Addr: "another"}, relayThreshold, lowestFree)
	require.True(t, ok)
	require.Equal(t, records[1].Slot, slot)
}

// TestInstanceCountIsUnknownUntilRelaysHaveCounted asks for the number of instances before the relay of a domain in which
// only some instances have records has counted them. With a number that is too low, the instances' shares add up to more
// than the shared limit.
func TestInstanceCountIsUnknownUntilRelaysHaveCounted(t *testing.T) {
	b := NewView(relayThreshold)
	b.setSnapshot(&Snapshot{Records: append(recordsIn("east", relayCandidates, 1), recordsIn("west", relayThreshold, 1)...)})
	require.Equal(t, AssumedInstances, b.Instances())
	b.NoteCounts(map[string]int{"east": 200})
	require.Equal(t, AssumedInstances, b.Instances())
	b.NoteCounts(map[string]int{"west": 180})
	require.Equal(t, 380, b.Instances())
	b.NoteCounts(map[string]int{"west": 0})
	require.Equal(t, 380, b.Instances(), "a relay that has just started does not know the number yet")
}
