package forward

import "testing"

func TestRevisionIsReportedForTheLastRouter(t *testing.T) {
	var router string
	var revision uint64
	h := &Handler{OnPeerRevision: func(r string, n uint64) { router, revision = r, n }}
	h.reportRevision([]string{"router-1", "router-2"}, 7)
	if router != "router-2" || revision != 7 {
		t.Fatal(router, revision)
	}
	h.reportRevision(nil, 8)
	(&Handler{}).reportRevision([]string{"router-1"}, 9)
	if revision != 7 {
		t.Fatal("reported a revision without a router or a callback", revision)
	}
}
