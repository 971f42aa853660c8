package loadshare

import (
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func TestLoadIsTheSumOfAllRouters(t *testing.T) {
	table := New()
	table.Begin("e", 100)
	table.Begin("e", 50)
	table.HearPeer(start, "r1", map[uint32]Work{Hash("e"): {Calls: 3, Reading: 10}, Hash("f"): {Calls: 9}})
	table.HearPeer(start, "r2", map[uint32]Work{Hash("e"): {Calls: 1}})
	if got, want := table.Load(start, "e"), (Work{Calls: 6, Reading: 160}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	table.Read("e", 150)
	table.End("e")
	if got, want := table.Load(start, "e"), (Work{Calls: 5, Reading: 10}); got != want {
		t.Errorf("after an end: got %+v, want %+v", got, want)
	}
}

func TestOldWordsAreForgotten(t *testing.T) {
	table := New()
	table.HearPeer(start, "r1", map[uint32]Work{Hash("e"): {Calls: 3}})
	table.HearInstance(start, "e", 7)
	if got := table.Load(start, "e").Calls; got != 7 {
		t.Errorf("with the instance's own word: %d, want 7", got)
	}
	if got := table.Load(start.Add(reportLifetime), "e").Calls; got != 3 {
		t.Errorf("after the instance's word: %d, want 3", got)
	}
	if got := table.Load(start.Add(peerLifetime), "e").Calls; got != 0 {
		t.Errorf("after the router's word: %d, want 0", got)
	}
	table.HearPeer(start, "r1", map[uint32]Work{Hash("e"): {Calls: 3}})
	table.ForgetPeer("r1")
	if got := table.Load(start, "e").Calls; got != 7 {
		t.Errorf("without the router: %d, want 7", got)
	}
}

func TestOwnChangesAreAddedToTheInstancesWord(t *testing.T) {
	table := New()
	table.Begin("e", 0)
	table.HearInstance(start, "e", 5)
	table.Begin("e", 0)
	if got := table.Load(start, "e").Calls; got != 6 {
		t.Errorf("got %d, want 6", got)
	}
	table.End("e")
	table.End("e")
	if got := table.Load(start, "e").Calls; got != 4 {
		t.Errorf("got %d, want 4", got)
	}
}

func TestIdleInstancesAreNotTold(t *testing.T) {
	table := New()
	table.Begin("e", 10)
	table.End("e")
	if own := table.Own(); len(own) != 0 {
		t.Errorf("idle instances are told: %v", own)
	}
}
