package relay

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"junctioncross/follow"
)

const (
	// packedFrom is the size of values from which records are compressed: entries of servers differ little, and weak instances have
	// thin lines.
	packedFrom = 2 << 10
	// mostUnpacked bounds what compressed records may grow to.
	mostUnpacked = 64 << 20
	// mostPacks bounds the answers that are kept compressed; those that wait for the same news ask from the same position.
	mostPacks = 16
)

// span is what part of a feed an answer holds.
type span struct {
	after, at follow.Position
	whole     bool
}

// packs keeps the latest answers compressed, so that each is compressed once for all that ask. Its owner guards it.
type packs struct {
	bySpan map[span][]byte
}

// get returns the compressed records of a span, and nothing when they are few.
func (p *packs) get(s span, records []Record) ([]byte, error) {
	size := 0
	for _, r := range records {
		size += len(r.Value)
	}
	if size < packedFrom {
		return nil, nil
	}
	if packed, ok := p.bySpan[s]; ok {
		return packed, nil
	}
	packed, err := pack(records)
	if err != nil {
		return nil, err
	}
	if len(p.bySpan) >= mostPacks || p.bySpan == nil {
		p.bySpan = map[span][]byte{}
	}
	p.bySpan[s] = packed
	return packed, nil
}

func pack(records []Record) ([]byte, error) {
	body, err := cbor.Marshal(records)
	if err != nil {
		return nil, errors.Wrap(err, "relay: encode records")
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "relay: compress records")
	}
	if _, err := w.Write(body); err != nil {
		return nil, errors.Wrap(err, "relay: compress records")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "relay: compress records")
	}
	return out.Bytes(), nil
}

func unpack(packed []byte) ([]Record, error) {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), mostUnpacked))
	if err != nil {
		return nil, errors.Wrap(err, "relay: decompress records")
	}
	var records []Record
	if err := cbor.Unmarshal(body, &records); err != nil {
		return nil, errors.Wrap(err, "relay: decode records")
	}
	return records, nil
}
