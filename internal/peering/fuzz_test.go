package peering

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

func FuzzParseDatagram(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("\x0a\x01a"))
	f.Fuzz(func(t *testing.T, data []byte) {
		received, ok := parseDatagram(data)
		if ok && received.Router.Name == "" {
			t.Error("a datagram without a sender is accepted")
		}
		if ok && received.Digest == nil && received.State == nil && received.Streams == nil {
			t.Error("a datagram with neither digest, state nor streams is accepted")
		}
	})
}

func FuzzDecompress(f *testing.F) {
	records := &peerpb.StateResponse{Revision: 7}
	for i := range 400 {
		records.Entries = append(records.Entries, &peerpb.StateEntry{Key: fmt.Sprintf("record/%04d", i), Value: []byte("value")})
	}
	compressed := compress(records).GetCompressed()
	if len(compressed) == 0 {
		f.Fatal("a response above the threshold is not compressed")
	}
	f.Add(compressed)
	f.Add(compressed[:len(compressed)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		response, err := decompress(&peerpb.StateResponse{Compressed: data})
		if err == nil && response == nil {
			t.Error("decompress returned neither a response nor an error")
		}
		if bytes.Equal(data, compressed) && !proto.Equal(response, records) {
			t.Error("a compressed response decompresses to different records")
		}
	})
}
