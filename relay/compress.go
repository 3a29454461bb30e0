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
	// minCompressedSize is the total size of values from which records are compressed: the entries of servers differ little,
	// and weak instances have little bandwidth.
	minCompressedSize = 2 << 10
	// maxDecompressedSize bounds the decompressed size of records.
	maxDecompressedSize = 64 << 20
	// maxCachedAnswers bounds the compressed answers that are kept. Polls that wait for the same update usually ask from the
	// same position.
	maxCachedAnswers = 16
)

// span is the part of a feed that an answer holds: the changes after one position up to another, or the full content at a
// position.
type span struct {
	after, at follow.Position
	full      bool
}

// compressedCache keeps the latest answers compressed, so that each is compressed only once for all polling instances. It is
// not safe for concurrent use.
type compressedCache struct {
	bySpan map[span][]byte
}

// get returns the compressed records of a span; it returns nil if they are too small to be worth compressing.
func (c *compressedCache) get(s span, records []Record) ([]byte, error) {
	size := 0
	for _, r := range records {
		size += len(r.Value)
	}
	if size < minCompressedSize {
		return nil, nil
	}
	if packed, ok := c.bySpan[s]; ok {
		return packed, nil
	}
	packed, err := compress(records)
	if err != nil {
		return nil, err
	}
	if len(c.bySpan) >= maxCachedAnswers || c.bySpan == nil {
		c.bySpan = map[span][]byte{}
	}
	c.bySpan[s] = packed
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

func decompress(packed []byte) ([]Record, error) {
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
