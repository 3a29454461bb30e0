package ports

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// The ports lie below those that the kernel gives to outgoing connections, so that nothing takes one between the moment
// it is found free and the moment its process listens.
const (
	firstPort = 12_000
	portCount = 18_000
	// portStep keeps processes with neighbouring ids, which often start together, from looking at the same ports.
	portStep = 131
)

var nextPort atomic.Int64

// Free returns that many loopback addresses whose TCP and UDP ports are free.
func Free(count int) ([]string, error) {
	nextPort.CompareAndSwap(0, int64(os.Getpid()*portStep%portCount)+1)
	out := make([]string, 0, count)
	for range portCount {
		if len(out) == count {
			return out, nil
		}
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+int(nextPort.Add(1))%portCount)
		if isFree(addr) {
			out = append(out, addr)
		}
	}
	return nil, errors.New("ports: none is free")
}

func isFree(addr string) bool {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return false
	}
	_ = l.Close()
	u, err := net.ListenPacket("udp4", addr)
	if err != nil {
		return false
	}
	_ = u.Close()
	return true
}
