package claims

import (
	"testing"

	"github.com/google/uuid"

	"github.com/verbenatrail/verbenatrail/internal/ledger"
)

// FuzzDecodeSegment decodes arbitrary values, as the key-value service may hold
// them. An accepted segment must survive another round trip, and nothing may
// panic.
func FuzzDecodeSegment(f *testing.F) {
	valid, err := encodeSegment(ledger.Segment{
		Holder: "a", Nonce: 1, Horizon: 2, Compacted: true,
		Records: []ledger.Record{
			{Kind: ledger.RecordClaim, Key: uuid.Must(uuid.NewV7()), Fingerprint: 3},
			{Kind: ledger.RecordAnswer, Result: Result{Status: 200, Body: []byte("x")}},
		},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, value []byte) {
		segment, err := decodeSegment(value)
		if err != nil {
			return
		}
		again, err := encodeSegment(segment)
		if err != nil {
			t.Skip("invalid UTF-8 in text")
		}
		second, err := decodeSegment(again)
		if err != nil || len(second.Records) != len(segment.Records) || second.Horizon != segment.Horizon {
			t.Fatalf("%+v became %+v (%v)", segment, second, err)
		}
	})
}
