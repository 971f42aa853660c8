package peering

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

func FuzzParse(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("\x0a\x01a"))
	f.Fuzz(func(t *testing.T, data []byte) {
		received, ok := parse(data)
		if ok && received.Router.Name == "" {
			t.Error("a datagram without a sender is taken")
		}
		if ok && received.Digest == nil && received.State == nil {
			t.Error("an empty datagram is taken")
		}
	})
}

func FuzzExpand(f *testing.F) {
	records := &peerpb.StateResponse{Revision: 7}
	for i := range 400 {
		records.Entries = append(records.Entries, &peerpb.StateEntry{Key: fmt.Sprintf("record/%04d", i), Value: []byte("value")})
	}
	compressed := compact(records).GetCompressed()
	if len(compressed) == 0 {
		f.Fatal("a long answer is not compressed")
	}
	f.Add(compressed)
	f.Add(compressed[:len(compressed)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		response, err := expand(&peerpb.StateResponse{Compressed: data})
		if err == nil && response == nil {
			t.Error("neither records nor an error")
		}
		if bytes.Equal(data, compressed) && !proto.Equal(response, records) {
			t.Error("records change on their way")
		}
	})
}
