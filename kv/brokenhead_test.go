package kv_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/httphead/headcase"
	"junctioncross/httphead/headtest"
	"junctioncross/kv"
	"junctioncross/metrics"
)

// TestARecordWithABrokenHeadIsNotRead guards against leases, settings and claims that the service did not give, and against writes that count as done.
func TestARecordWithABrokenHeadIsNotRead(t *testing.T) {
	for _, c := range headcase.Broken() {
		t.Run(c.String(), func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			record := headtest.NewServer(t, c.Answer("", `{"key":"k","value":"dg==","revision":7,"created":7}`))
			client := kv.New(record.Addr(), metrics.New())
			_, err := client.Get(ctx, "k")
			require.ErrorIs(t, err, kv.ErrUnavailable)
			_, err = client.Wait(ctx, "k", 1)
			require.ErrorIs(t, err, kv.ErrUnavailable)
			_, err = client.Write(ctx, kv.Put{Key: "k", Value: []byte("v")})
			require.ErrorIs(t, err, kv.ErrOutcomeUnknown)
			require.ErrorIs(t, client.Delete(ctx, "k", 7), kv.ErrOutcomeUnknown)
			require.Equal(t, 4, record.Requests(), "each is sent once")
			list := headtest.NewServer(t, c.Answer("", "[]"))
			_, err = kv.New(list.Addr(), metrics.New()).List(ctx, "k")
			require.ErrorIs(t, err, kv.ErrUnavailable)
		})
	}
}
