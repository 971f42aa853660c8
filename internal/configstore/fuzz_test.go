package configstore

import (
	"testing"

	"github.com/verbenatrail/verbenatrail/internal/declare"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/rollout"
)

// FuzzPeerResponse guards against panics on invalid responses of a peer: a response
// must be either rejected or compiled.
func FuzzPeerResponse(f *testing.F) {
	compressed, err := compressCopy(FullCopy{Revision: 3, Declarations: declare.FromChanges([]declare.Change{engineChange("a", "1")})})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(compressed, []byte(`{"revision":4,"changes":[{"kind":"engine","name":"a"}]}`))
	f.Add([]byte("x"), []byte(`{"revision":4,"changes":[{"kind":"selector","name":"s","engine":{}}]}`))
	f.Fuzz(func(_ *testing.T, full, change []byte) {
		response := &peerpb.ConfigResponse{Full: full, Changes: [][]byte{change}}
		v := newView(1, &declare.Declarations{}, nil)
		if fullCopy, err := decompressCopy(response.GetFull()); err == nil {
			v = newView(fullCopy.Revision, fullCopy.Declarations, nil)
		}
		records, err := decodeRecords(response.GetChanges())
		if err != nil {
			return
		}
		_ = changesMessage(rollout.Source{Peer: "a"}, records, true)
		_, _ = v.withRecords(records)
	})
}
