package admission_test

import "testing"

// The tests of this file play the checks of overload_test.go in small fleets, where chance weighs most, with seeds for which no constant
// was chosen.
const (
	firstFurtherSeed = 6
	furtherSeeds     = 20
)

// furtherShapes returns the shapes of a small fleet with seeds from firstFurtherSeed on.
func furtherShapes(factors ...float64) []scenario {
	return smallFleet.shapesFrom(firstFurtherSeed, furtherSeeds, factors...)
}

func TestTheMostUrgentAreInTimeWithFurtherSeeds(t *testing.T) {
	t.Parallel()
	check(t, furtherShapes(1.1, 1.3, 2), requireMostUrgentInTime)
}

func TestAMoreUrgentRankNeverGetsTheSmallerShareWithFurtherSeeds(t *testing.T) {
	t.Parallel()
	check(t, furtherShapes(1.1, 1.3, 2), requireSharesInOrder)
}

func TestCallersAreInTimeAgainAfterAnOverloadWithFurtherSeeds(t *testing.T) {
	t.Parallel()
	check(t, furtherShapes(1.1, 1.3, 2), requireInTimeAgain)
}

func TestOverloadLosesNoWorkWithFurtherSeeds(t *testing.T) {
	t.Parallel()
	check(t, furtherShapes(1.1, 1.3, 2), requireNoWorkLost)
}

func TestNoRankIsPassedOverWithFurtherSeeds(t *testing.T) {
	t.Parallel()
	check(t, furtherShapes(1.1, 1.3), requireNonePassedOver)
}

func TestNoRankIsPassedOverAtTwiceTheRoomWithFurtherSeeds(t *testing.T) {
	t.Parallel()
	check(t, furtherShapes(2), requireNonePassedOver)
}
