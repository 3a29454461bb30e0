package forward

import (
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/models"
)

// TestAStreamWhosePathClosedAfterItLeftItsServerIsAnswered has a stream that was handed over before its first event and finds no
// other path.
func TestAStreamWhosePathClosedAfterItLeftItsServerIsAnswered(t *testing.T) {
	require.Equal(t, failed{reason: models.RetryBroken}, withoutPath(handedOver{}), "its former server may have run it")
	require.Equal(t, notRun{reason: models.ReasonNoRoom}, withoutPath(nil))
	require.Equal(t, notRun{reason: models.RetryRefused}, withoutPath(notRun{reason: models.RetryRefused}))
}
