package configstore

import (
	"testing"

	"github.com/verbenatrail/verbenatrail/internal/declare"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/rollout"
)

// FuzzPeerResponse feeds what a peer may send: it is refused, or it compiles.
func FuzzPeerResponse(f *testing.F) {
	packed, err := packCopy(FullCopy{Revision: 3, Declarations: declare.FromChanges([]declare.Change{engineChange("a", "1")})})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed, []byte(`{"revision":4,"changes":[{"kind":"engine","name":"a"}]}`))
	f.Add([]byte("x"), []byte(`{"revision":4,"changes":[{"kind":"selector","name":"s","engine":{}}]}`))
	f.Fuzz(func(_ *testing.T, full, change []byte) {
		response := &peerpb.ConfigResponse{Full: full, Changes: [][]byte{change}}
		v := newView(1, &declare.Declarations{}, nil)
		if whole, err := unpackCopy(response.GetFull()); err == nil {
			v = newView(whole.Revision, whole.Declarations, nil)
		}
		records, err := unpackRecords(response.GetChanges())
		if err != nil {
			return
		}
		_ = changesMessage(rollout.Source{Peer: "a"}, records, true)
		_, _ = v.with(records)
	})
}
