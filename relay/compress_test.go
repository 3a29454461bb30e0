package relay

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/follow"
)

// TestServerEntriesCompressWell compresses entries like those that servers write and reads them back.
func TestServerEntriesCompressWell(t *testing.T) {
	const most = 0.35
	var records []Record
	size := 0
	for i := range 3005 {
		entry := fmt.Sprintf(`{"service":"assistant","address":"10.3.%d.%d:8708","zone":"east","version":"v1","slots":192,"state":"ready","slow_for":0,`+
			`"written":%d,"started":%d,"kind":"t4","models":[{"name":"m0","version":1}],"layers":{"first":%d,"end":%d,"version":1}}`,
			i/250, i%250, i%7, 1767446768000+i*37, i%73, i%73+7)
		records = append(records, Record{Key: fmt.Sprintf("servers/i-%010x", i*2654435761), Value: []byte(entry), Revision: follow.Position(i)})
		size += len(entry)
	}
	var p compressedCache
	packed, err := p.get(span{at: 1, full: true}, records)
	require.NoError(t, err)
	require.LessOrEqual(t, float64(len(packed)), most*float64(size))
	back, err := decompress(packed)
	require.NoError(t, err)
	require.Equal(t, records, back)
	again, err := p.get(span{at: 1, full: true}, records)
	require.NoError(t, err)
	require.Equal(t, &packed[0], &again[0], "compressed only once for all polling instances")
	few, err := p.get(span{at: 1}, records[:2])
	require.NoError(t, err)
	require.Nil(t, few)
}

// TestDecompressRejectsDamagedRecords decompresses bytes that no relay has written.
func TestDecompressRejectsDamagedRecords(t *testing.T) {
	_, err := decompress([]byte("damaged"))
	require.Error(t, err)
}
