package fault

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/Shopify/toxiproxy"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Toxic is a fault of the connections of a proxy, in the format of the toxiproxy library, where a fault is called toxic.
type Toxic struct {
	Name       string           `json:"name"`
	Type       string           `json:"type"`
	Stream     string           `json:"stream"`
	Toxicity   float32          `json:"toxicity"`
	Attributes map[string]int64 `json:"attributes"`
}

// Latency returns a fault that delays responses by ms milliseconds, plus or minus up to jitter milliseconds.
func Latency(ms, jitter int64) Toxic {
	return Toxic{Name: "latency", Type: "latency", Stream: "downstream", Toxicity: 1, Attributes: map[string]int64{"latency": ms, "jitter": jitter}}
}

// Reset returns a fault that closes a share (0 to 1) of the connections after the given number of bytes of the response.
func Reset(share float32, bytes int64) Toxic {
	return Toxic{Name: "reset", Type: "limit_data", Stream: "downstream", Toxicity: share, Attributes: map[string]int64{"bytes": bytes}}
}

// Silence returns a fault that drops all data in one direction, "upstream" (to the server) or "downstream" (from it), while
// connections stay open.
func Silence(stream string) Toxic {
	return Toxic{Name: "silence-" + stream, Type: "timeout", Stream: stream, Toxicity: 1, Attributes: map[string]int64{"timeout": 0}}
}

// TCP is a proxy in front of one TCP address.
type TCP struct {
	inner *toxiproxy.Proxy
}

// NewTCP starts a proxy for the address upstream, on a free loopback port.
func NewTCP(upstream string) (*TCP, error) {
	// The library logs every connection to logrus' standard logger.
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

// Addr returns the address on which the proxy listens.
func (t *TCP) Addr() string { return t.inner.Listen }

// Add injects a fault.
func (t *TCP) Add(toxic Toxic) error {
	body, err := json.Marshal(toxic)
	if err != nil {
		return errors.Wrap(err, "fault: encode")
	}
	_, err = t.inner.Toxics.AddToxicJson(bytes.NewReader(body))
	return errors.Wrap(err, "fault: add")
}

// Remove ends the fault with the given name.
func (t *TCP) Remove(name string) error {
	return errors.Wrap(t.inner.Toxics.RemoveToxic(name), "fault: remove")
}

// Cut closes every connection and refuses new ones until Heal.
func (t *TCP) Cut() { t.inner.Stop() }

// Heal accepts connections again after Cut.
func (t *TCP) Heal() error { return errors.Wrap(t.inner.Start(), "fault: heal") }

// Close stops the proxy.
func (t *TCP) Close() { t.inner.Stop() }
