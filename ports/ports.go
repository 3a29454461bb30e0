package ports

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// The ports are below the kernel's ephemeral range, so that no outgoing connection takes a port between the check that it is
// free and the moment when its process listens on it.
const (
	firstPort = 12_000
	portCount = 18_000
	// portStep is the distance between the first ports that processes with consecutive ids try. Such processes often start
	// together and would otherwise try the same ports.
	portStep = 131
)

var nextPort atomic.Int64

// Free returns count loopback addresses whose TCP and UDP ports are free. It reserves nothing; it returns an error if it
// finds too few.
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

// isFree reports whether the address can be listened on over TCP and UDP.
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
