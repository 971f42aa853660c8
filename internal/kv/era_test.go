package kv

import "testing"

func TestRevisionsAreOrderedByEraFirst(t *testing.T) {
	before, after := JoinRevision(1, 1000), JoinRevision(2, 950)
	if after <= before {
		t.Errorf("revision 950 of era 2 is not above revision 1000 of era 1: %d, %d", after, before)
	}
	if EraOf(after) != 2 || RawRevision(after) != 950 {
		t.Errorf("era %d, revision %d", EraOf(after), RawRevision(after))
	}
	highest := JoinRevision(MaxEra, MaxRawRevision)
	if highest < 0 || EraOf(highest) != MaxEra || RawRevision(highest) != MaxRawRevision {
		t.Errorf("highest revision: %d, era %d", highest, EraOf(highest))
	}
}

func TestStoresWithoutErasKeepTheirRevisions(t *testing.T) {
	if got := JoinRevision(0, 1000); got != 1000 {
		t.Errorf("revision %d", got)
	}
	if got := JoinRevision(7, 0); got != 0 {
		t.Errorf("no revision became %d", got)
	}
}
