package forward

import "testing"

func TestAnnounceNamesTheLastRouter(t *testing.T) {
	var router string
	var revision uint64
	h := &Handler{OnPeerRevision: func(r string, n uint64) { router, revision = r, n }}
	h.announce([]string{"router-1", "router-2"}, 7)
	if router != "router-2" || revision != 7 {
		t.Fatal(router, revision)
	}
	h.announce(nil, 8)
	(&Handler{}).announce([]string{"router-1"}, 9)
	if revision != 7 {
		t.Fatal("announced without a router", revision)
	}
}
