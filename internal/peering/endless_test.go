package peering

import (
	"bytes"
	"compress/gzip"
	"testing"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// A short message holds a copy of the records that is much longer than any that a
// router sends.
func TestOverlongCopyIsRejected(t *testing.T) {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	for range 2 * maxStateBytes >> 20 {
		if _, err := w.Write(make([]byte, 1<<20)); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := decompress(&peerpb.StateResponse{Compressed: compressed.Bytes()}); err == nil {
		t.Errorf("a copy of %d bytes is read from %d", 2*maxStateBytes, compressed.Len())
	}
}
