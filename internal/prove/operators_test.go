package prove

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/verbenatrail/verbenatrail/internal/configstore"
	"github.com/verbenatrail/verbenatrail/internal/declare"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/layout"
	"github.com/verbenatrail/verbenatrail/internal/standin"
	"github.com/verbenatrail/verbenatrail/internal/trace"
)

const (
	operatorTimeout    = 15 * time.Second
	operatorCount      = 4
	commitsPerOperator = 3
)

func directedConfigurationProofs() []directedProof {
	return []directedProof{
		{promiseConfiguration, "operators race one another", proveRacingOperators},
		{promiseConfiguration, "operators race while replies are lost and watches end", proveRacingOperatorsWithFaults},
		{promiseConfiguration, "every router restarted, one after the other, during an outage of the key-value service", proveRestartsInOutage},
		{promiseConfiguration, "router frozen over a change, and thawed during an outage", proveFrozenOverChange},
	}
}

// commitLabel sets a label of an engine, whose key is the author, on top of the
// newest revision and returns the new revision. On a conflict it reads the newest
// revision again and retries.
func (f *testFleet) commitLabel(ctx context.Context, author, engine, value string) (uint64, error) {
	store := f.store()
	for {
		current, err := configstore.NewReader(store).LoadAll(ctx)
		if err != nil {
			return 0, err
		}
		e, ok := current.Declarations.Engine(engine)
		if !ok {
			return 0, errors.Errorf("engine %s isn't declared", engine)
		}
		labels := fleet.Labels{author: value}
		for key, old := range e.Labels {
			if key != author {
				labels[key] = old
			}
		}
		e.Labels = labels
		change := declare.Change{Kind: declare.KindEngine, Name: engine, Engine: &e}
		revision, err := f.committer(author).Commit(ctx, current.Revision, []declare.Change{change})
		if !errors.Is(err, configstore.ErrConflict) {
			return revision, err
		}
	}
}

// raceOperators has several operators relabel one engine concurrently and checks
// that no accepted change is lost.
func (f *testFleet) raceOperators() {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	var group errgroup.Group
	for i := range operatorCount {
		group.Go(func() error { return f.commitSeries(ctx, fmt.Sprintf("operator-%d", i)) })
	}
	if err := group.Wait(); err != nil {
		f.t.Fatal(err)
	}
	current, err := configstore.NewReader(f.store()).LoadAll(ctx)
	if err != nil {
		f.t.Fatal(err)
	}
	e, _ := current.Declarations.Engine("engine-1")
	for i := range operatorCount {
		if got := e.Labels[fmt.Sprintf("operator-%d", i)]; got != fmt.Sprint(commitsPerOperator-1) {
			f.t.Errorf("last change of operator-%d was lost: its label is %q", i, got)
		}
	}
	f.waitRevision(1 + operatorCount*commitsPerOperator)
}

func (f *testFleet) commitSeries(ctx context.Context, author string) error {
	last := uint64(0)
	for n := range commitsPerOperator {
		revision, err := f.commitLabel(ctx, author, "engine-1", fmt.Sprint(n))
		if err != nil {
			return errors.WithMessage(err, author)
		}
		if revision <= last {
			return errors.Errorf("%s: revision %d came after %d", author, revision, last)
		}
		last = revision
	}
	return nil
}

// waitRevision waits until every router has at least the given revision in force.
func (f *testFleet) waitRevision(revision uint64) {
	f.t.Helper()
	for _, p := range f.layout.OfKind(layout.KindRouter) {
		f.eventually(fmt.Sprintf("%s has revision %d", p.Name, revision), func() bool { return f.revision(p.Name) >= revision })
	}
}

func proveRacingOperators(_ *testing.T, f *testFleet) { f.raceOperators() }

func proveRacingOperatorsWithFaults(_ *testing.T, f *testFleet) {
	f.post(layout.KeyValueName, standin.PathFaults, `{"lose_write_replies":6}`)
	f.post(layout.KeyValueName, standin.PathActions, `{"drop_watch_events":10,"end_watches":true}`)
	f.raceOperators()
}

func proveRestartsInOutage(t *testing.T, f *testFleet) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	revision, err := f.commitLabel(ctx, "operator", "engine-1", "before")
	if err != nil {
		t.Fatal(err)
	}
	f.waitRevision(revision)
	f.post(layout.KeyValueName, standin.PathFaults, `{"outage":"cut"}`)
	for _, p := range f.layout.OfKind(layout.KindRouter) {
		f.kill(p.Name)
		f.start(p.Name)
		f.eventually(p.Name+" has the revision again", func() bool { return f.revision(p.Name) == revision })
	}
}

func proveFrozenOverChange(t *testing.T, f *testFleet) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	f.signal("router-2", trace.ActionFreeze)
	revision, err := f.commitLabel(ctx, "operator", "engine-1", "changed")
	if err != nil {
		t.Fatal(err)
	}
	f.eventually("router-1 has the revision", func() bool { return f.revision("router-1") == revision })
	f.post(layout.KeyValueName, standin.PathFaults, `{"outage":"cut"}`)
	f.signal("router-2", trace.ActionThaw)
	f.waitRevision(revision)
}
