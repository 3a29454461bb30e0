package fault

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/Shopify/toxiproxy"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Toxic is a fault of connections, by the names of the proxy library.
type Toxic struct {
	Name       string           `json:"name"`
	Type       string           `json:"type"`
	Stream     string           `json:"stream"`
	Toxicity   float32          `json:"toxicity"`
	Attributes map[string]int64 `json:"attributes"`
}

// Latency returns a fault that delays answers, in milliseconds, give or take the jitter.
func Latency(ms, jitter int64) Toxic {
	return Toxic{Name: "latency", Type: "latency", Stream: "downstream", Toxicity: 1, Attributes: map[string]int64{"latency": ms, "jitter": jitter}}
}

// Reset returns a fault that closes a share of the connections after some bytes of an answer.
func Reset(share float32, bytes int64) Toxic {
	return Toxic{Name: "reset", Type: "limit_data", Stream: "downstream", Toxicity: share, Attributes: map[string]int64{"bytes": bytes}}
}

// Silence returns a fault that holds back every byte of one direction, "upstream" to the server or "downstream" from it, while
// connections stay open.
func Silence(stream string) Toxic {
	return Toxic{Name: "silence-" + stream, Type: "timeout", Stream: stream, Toxicity: 1, Attributes: map[string]int64{"timeout": 0}}
}

// TCP is a proxy in front of one TCP address.
type TCP struct {
	inner *toxiproxy.Proxy
}

// NewTCP starts a proxy of the address upstream on a free loopback port.
func NewTCP(upstream string) (*TCP, error) {
	// The library logs every connection.
	logrus.SetOutput(io.Discard)
	p := toxiproxy.NewProxy()
	p.Name = upstream
	p.Listen = "127.0.0.1:0"
	p.Upstream = upstream
	if err := p.Start(); err != nil {
		return nil, errors.Wrap(err, "fault: start proxy")
	}
	return &TCP{inner: p}, nil
}

// Addr returns the address to connect to.
func (t *TCP) Addr() string { return t.inner.Listen }

// Add brings a fault about.
func (t *TCP) Add(toxic Toxic) error {
	body, err := json.Marshal(toxic)
	if err != nil {
		return errors.Wrap(err, "fault: encode")
	}
	_, err = t.inner.Toxics.AddToxicJson(bytes.NewReader(body))
	return errors.Wrap(err, "fault: add")
}

// Remove ends a fault.
func (t *TCP) Remove(name string) error {
	return errors.Wrap(t.inner.Toxics.RemoveToxic(name), "fault: remove")
}

// Cut closes every connection and refuses new ones.
func (t *TCP) Cut() { t.inner.Stop() }

// Heal accepts connections again.
func (t *TCP) Heal() error { return errors.Wrap(t.inner.Start(), "fault: heal") }

// Close ends the proxy.
func (t *TCP) Close() { t.inner.Stop() }
