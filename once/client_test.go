package once_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"junctioncross/once"
)

func TestOnlyAFailureToConnectCountsAsNeverSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	var accepted atomic.Int32
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}
	}()
	addr := listener.Addr().String()
	client := once.NewClient(time.Second)
	_, _, err = client.Get(nil, "http://"+addr)
	require.Error(t, err)
	require.False(t, once.NeverSent(err), "the request was read")
	require.Equal(t, int32(1), accepted.Load(), "it was sent once")
	require.NoError(t, listener.Close())
	_, _, err = once.NewClient(time.Second).Get(nil, "http://"+addr)
	require.True(t, once.NeverSent(err))
	require.False(t, once.NeverSent(fasthttp.ErrTimeout))
}
