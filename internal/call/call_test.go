package call

import (
	"net/http"
	"testing"
)

// Headers that Connection names concern one connection, too.
func TestHeadersOfOneConnectionAreNotPassedOn(t *testing.T) {
	header := http.Header{}
	for _, name := range []string{"Keep-Alive", "Te", "Upgrade", "X-Hop", "X-End"} {
		header.Set(name, "v")
	}
	header.Set("Connection", "close, x-hop")
	StripHopByHopHeaders(header)
	if len(header) != 1 || header.Get("X-End") != "v" {
		t.Errorf("left: %v", header)
	}
}

func TestFingerprintKeepsFieldsApart(t *testing.T) {
	if Fingerprint([]byte("c"), "a", "b") == Fingerprint([]byte("c"), "ab", "") {
		t.Error("fields run together")
	}
	if Fingerprint([]byte("c"), "a", "b") == Fingerprint([]byte("bc"), "a", "") {
		t.Error("the last field runs into the body")
	}
}

// The journal of actions keeps fingerprints: a change of the value would make
// resends look like other actions.
func TestFingerprintStaysTheSame(t *testing.T) {
	const recorded = uint64(4462692190340477650)
	if got := Fingerprint([]byte("body"), "workspace", "POST", "/path"); got != recorded {
		t.Errorf("fingerprint %d, want %d", got, recorded)
	}
}
