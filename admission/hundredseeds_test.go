package admission_test

import (
	"slices"
	"testing"
)

// The tests of this file play the checks on lost work with hundreds of seeds: a fault of chance shows in a few of a hundred plays.
const (
	hundredSeeds = 100
	// earlierSeed and unusedSeed are the first ones of a hundred seeds each; no constant was chosen with those from unusedSeed on.
	earlierSeed = 201
	unusedSeed  = 4001
)

// hundredShapes returns the shapes of a small fleet with a hundred seeds from first on.
func hundredShapes(first uint64, factors ...float64) []scenario {
	return smallFleet.shapesFrom(first, hundredSeeds, factors...)
}

// TestABurstInASmallFleetLosesNoWorkWithHundredsOfSeeds guards against room that stays free in a burst while callers are refused.
func TestABurstInASmallFleetLosesNoWorkWithHundredsOfSeeds(t *testing.T) {
	t.Parallel()
	all := append(hundredShapes(earlierSeed, 1.3), hundredShapes(unusedSeed, 1.3)...)
	check(t, slices.DeleteFunc(all, func(s scenario) bool { return !s.smallBurst() }), requireNoWorkLost)
}

// TestOverloadLosesNoWorkWithAHundredSeeds guards against room that stays free in an overload while callers are refused.
func TestOverloadLosesNoWorkWithAHundredSeeds(t *testing.T) {
	t.Parallel()
	check(t, hundredShapes(unusedSeed, 1.1, 1.3, 2), requireNoWorkLost)
}
