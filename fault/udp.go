package fault

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxDatagram is the size of the receive buffers, in bytes; no UDP datagram is larger.
const maxDatagram = 64 << 10

// UDP is a proxy in front of one UDP address.
type UDP struct {
	socket   *net.UDPConn
	upstream *net.UDPAddr

	mu     sync.Mutex
	random *rand.Rand
	loss   float64
	delay  time.Duration
	cut    bool
	// upstreamSockets holds each sender's socket to the upstream, by the sender's address.
	upstreamSockets map[string]*net.UDPConn
	// silenced holds the addresses of the senders whose datagrams are dropped for good, in both directions.
	silenced map[string]bool
}

// NewUDP starts a proxy for the address upstream, on a free loopback port; the same seed makes the same choice of lost datagrams.
func NewUDP(upstream string, seed uint64) (*UDP, error) {
	target, err := net.ResolveUDPAddr("udp4", upstream)
	if err != nil {
		return nil, errors.Wrap(err, "fault: upstream")
	}
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "fault: listen")
	}
	u := &UDP{
		socket: socket, upstream: target, random: rand.New(rand.NewPCG(seed, seed)),
		upstreamSockets: map[string]*net.UDPConn{}, silenced: map[string]bool{},
	}
	go func() { u.forward() }()
	return u, nil
}

// Addr returns the address on which the proxy receives.
func (u *UDP) Addr() string { return u.socket.LocalAddr().String() }

// Set makes the proxy drop a share (0 to 1) of the datagrams and delay the others.
func (u *UDP) Set(loss float64, delay time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.loss, u.delay = loss, delay
}

// Cut drops every datagram until Heal.
func (u *UDP) Cut() { u.setCut(true) }

// Heal ends Cut.
func (u *UDP) Heal() { u.setCut(false) }

// Silence drops for good the datagrams of all senders that the proxy has seen so far, in both directions: connections from these
// addresses hang, those from new addresses work.
func (u *UDP) Silence() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for sender := range u.upstreamSockets {
		u.silenced[sender] = true
	}
}

func (u *UDP) setCut(cut bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cut = cut
}

// Close stops the proxy.
func (u *UDP) Close() {
	_ = u.socket.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.upstreamSockets {
		_ = c.Close()
	}
}

// deliver calls send for a datagram from or to the sender, at once or after the delay, or drops it.
func (u *UDP) deliver(sender *net.UDPAddr, send func()) {
	u.mu.Lock()
	lost := u.cut || u.silenced[sender.String()] || u.random.Float64() < u.loss
	delay := u.delay
	u.mu.Unlock()
	switch {
	case lost:
	case delay > 0:
		time.AfterFunc(delay, send)
	default:
		send()
	}
}

// forward passes datagrams of all senders to the upstream until the proxy is closed.
func (u *UDP) forward() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := u.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		socket, err := u.upstreamSocket(from)
		if err != nil {
			continue
		}
		body := append([]byte(nil), buffer[:n]...)
		u.deliver(from, func() { _, _ = socket.Write(body) })
	}
}

// upstreamSocket returns the sender's socket to the upstream and opens it if it is new.
func (u *UDP) upstreamSocket(from *net.UDPAddr) (*net.UDPConn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c := u.upstreamSockets[from.String()]; c != nil {
		return c, nil
	}
	c, err := net.DialUDP("udp4", nil, u.upstream)
	if err != nil {
		return nil, err
	}
	u.upstreamSockets[from.String()] = c
	go func() { u.reverse(c, from) }()
	return c, nil
}

// reverse passes datagrams of the upstream back to a sender until the proxy is closed.
func (u *UDP) reverse(c *net.UDPConn, to *net.UDPAddr) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := c.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		body := append([]byte(nil), buffer[:n]...)
		u.deliver(to, func() { _, _ = u.socket.WriteToUDP(body, to) })
	}
}
