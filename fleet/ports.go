package fleet

import (
	"net"

	"github.com/pkg/errors"
)

// freeAddrs returns that many loopback addresses whose TCP and UDP ports are free.
func freeAddrs(count int) ([]string, error) {
	var held []interface{ Close() error }
	defer func() {
		for _, h := range held {
			_ = h.Close()
		}
	}()
	out := make([]string, 0, count)
	for len(out) < count {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "fleet: find a port")
		}
		held = append(held, l)
		u, err := net.ListenPacket("udp4", l.Addr().String())
		if err != nil {
			continue
		}
		held = append(held, u)
		out = append(out, l.Addr().String())
	}
	return out, nil
}
