package placement

import (
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/models"
)

// TestReasonsOfOrders names the reason of an order by what its server is before it.
func TestReasonsOfOrders(t *testing.T) {
	held := models.Layers{First: 4, End: 8}
	for _, c := range []struct {
		server Server
		order  models.Layers
		want   Reason
	}{
		{Server{}, held, ReasonFill},
		{Server{Reserved: true}, held, ReasonReplace},
		{Server{Layers: held}, models.Layers{First: 0, End: 4}, ReasonMove},
		{Server{Layers: held}, models.Layers{First: 2, End: 6}, ReasonRetile},
		{Server{Layers: held}, models.Layers{First: 2, End: 8}, ReasonRetile},
	} {
		require.Equal(t, c.want, ReasonFor(&c.server, Order{Layers: c.order}))
	}
}
