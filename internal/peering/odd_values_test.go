package peering

import (
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// What a datagram names must be an address that can be sent to and passed on to callers,
// and a revision that a store can have: a router that waits for another one would list the
// records again and again.
func TestOddValuesInDatagramsAreRejected(t *testing.T) {
	const peerAddress, callers = "10.0.0.1:7340", "10.0.0.1:8227"
	digest := func(change func(*peerpb.Digest)) *peerpb.Datagram {
		d := &peerpb.Digest{PeerAddress: peerAddress, CallerAddress: callers, Era: 1, StateRevision: 5, ChangedRevision: 4}
		change(d)
		return &peerpb.Datagram{From: "r", Body: &peerpb.Datagram_Digest{Digest: d}}
	}
	state := func(change func(*peerpb.StateResponse)) *peerpb.Datagram {
		s := &peerpb.StateResponse{Era: 1, Revision: 5, FromEra: 1, FromRevision: 4, Entries: []*peerpb.StateEntry{{Key: "k", Era: 1, Revision: 5}}}
		change(s)
		return &peerpb.Datagram{From: "r", Body: &peerpb.Datagram_State{State: s}}
	}
	accepts := func(d *peerpb.Datagram) bool {
		data, err := proto.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		_, ok := parseDatagram(data)
		return ok
	}
	if !accepts(digest(func(*peerpb.Digest) {})) || !accepts(state(func(*peerpb.StateResponse) {})) ||
		!accepts(digest(func(d *peerpb.Digest) { d.CallerAddress = "" })) {
		t.Fatal("a sound datagram is rejected")
	}
	for _, address := range []string{"", "nowhere", "10.0.0.1:0", "10.0.0.1:65536", "0.0.0.0:80", "[::1]:80", "224.0.0.1:80"} {
		if accepts(digest(func(d *peerpb.Digest) { d.PeerAddress = address })) {
			t.Errorf("the peer address %q is accepted", address)
		}
		if address != "" && accepts(digest(func(d *peerpb.Digest) { d.CallerAddress = address })) {
			t.Errorf("the callers' address %q is accepted", address)
		}
	}
	for _, raw := range []int64{-1, math.MinInt64, math.MaxInt64, kv.MaxRawRevision + 1} {
		for name, d := range map[string]*peerpb.Datagram{
			"state revision":   digest(func(d *peerpb.Digest) { d.StateRevision = raw }),
			"changed revision": digest(func(d *peerpb.Digest) { d.ChangedRevision = raw }),
			"revision":         state(func(s *peerpb.StateResponse) { s.Revision = raw }),
			"from":             state(func(s *peerpb.StateResponse) { s.FromRevision = raw }),
			"changed":          state(func(s *peerpb.StateResponse) { s.ChangedRevision = raw }),
			"entry":            state(func(s *peerpb.StateResponse) { s.Entries[0].Revision = raw }),
		} {
			if accepts(d) {
				t.Errorf("%s %d is accepted", name, raw)
			}
		}
	}
}
