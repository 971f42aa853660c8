package call

import (
	"net/http"
	"slices"
	"strconv"
	"testing"
)

// Headers listed in Connection are hop-by-hop headers, too.
func TestHopByHopHeadersAreStripped(t *testing.T) {
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

// What crashes instances may be any part of a prompt: each must have a key, wherever it is
// and however many there are.
func TestEachSharedPartHasAKey(t *testing.T) {
	for _, n := range []int{1, 24, 25, 40, 129, 1536, 3072} {
		var parts []string
		for i := range n {
			parts = append(parts, strconv.Itoa(i))
		}
		keys := SharedKeys(parts, []string{"workspace", "service"})
		for _, part := range parts {
			if !slices.Contains(keys, SharedKeys([]string{part}, nil)[0]) {
				t.Errorf("of %d parts, part %s has no key", n, part)
			}
		}
	}
}

func TestFingerprintDependsOnFieldBoundaries(t *testing.T) {
	if Fingerprint([]byte("c"), "a", "b") == Fingerprint([]byte("c"), "ab", "") {
		t.Error("the boundary between fields is ignored")
	}
	if Fingerprint([]byte("c"), "a", "b") == Fingerprint([]byte("bc"), "a", "") {
		t.Error("the boundary between the last field and the body is ignored")
	}
}

// The journal of actions stores fingerprints. If the hash changed, a resend would not
// match its stored action.
func TestFingerprintStaysTheSame(t *testing.T) {
	const recorded = uint64(4462692190340477650)
	if got := Fingerprint([]byte("body"), "workspace", "POST", "/path"); got != recorded {
		t.Errorf("fingerprint %d, want %d", got, recorded)
	}
}
