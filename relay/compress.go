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
	// minCompressedSize is the size of values from which records are compressed: entries of servers differ little, and weak instances have
	// thin lines.
	minCompressedSize = 2 << 10
	// maxDecompressedSize bounds what compressed records may grow to.
	maxDecompressedSize = 64 << 20
	// maxCachedAnswers bounds the answers that are kept compressed; those that wait for the same news ask from the same position.
	maxCachedAnswers = 16
)

// span is what part of a feed an answer holds.
type span struct {
	after, at follow.Position
	whole     bool
}

// compressedCache keeps the latest answers compressed, so that each is compressed once for all that ask. Its owner guards it.
type compressedCache struct {
	bySpan map[span][]byte
}

// get returns the compressed records of a span, and nothing when they are few.
func (p *compressedCache) get(s span, records []Record) ([]byte, error) {
	size := 0
	for _, r := range records {
		size += len(r.Value)
	}
	if size < minCompressedSize {
		return nil, nil
	}
	if packed, ok := p.bySpan[s]; ok {
		return packed, nil
	}
	packed, err := compress(records)
	if err != nil {
		return nil, err
	}
	if len(p.bySpan) >= maxCachedAnswers || p.bySpan == nil {
		p.bySpan = map[span][]byte{}
	}
	p.bySpan[s] = packed
	return packed, nil
}

func compress(records []Record) ([]byte, error) {
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
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxDecompressedSize))
	if err != nil {
		return nil, errors.Wrap(err, "relay: decompress records")
	}
	var records []Record
	if err := cbor.Unmarshal(body, &records); err != nil {
		return nil, errors.Wrap(err, "relay: decode records")
	}
	return records, nil
}
