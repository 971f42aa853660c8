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
	operatorTimeout = 15 * time.Second
	operators       = 4
	commitsEach     = 3
)

func configurationSteps() []directed {
	return []directed{
		{promiseConfiguration, "operators race one another", proveRacingOperators},
		{promiseConfiguration, "operators race while replies are lost and watches end", proveRacingOperatorsWithFaults},
		{promiseConfiguration, "every router restarted, one after the other, during an outage of the key-value service", proveRestartsInOutage},
		{promiseConfiguration, "router frozen over a change, and thawed during an outage", proveFrozenOverChange},
	}
}

// label commits a label of an engine on the newest revision and returns the
// revision. A conflict is met by reading again.
func (f *testFleet) label(ctx context.Context, author, engine, value string) (uint64, error) {
	store := f.store()
	for {
		current, err := configstore.NewReader(store).LoadAll(ctx)
		if err != nil {
			return 0, err
		}
		e, ok := current.Declarations.Engine(engine)
		if !ok {
			return 0, errors.Errorf("%s isn't declared", engine)
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

// race lets several operators relabel one engine at once and checks that no
// accepted change is lost.
func (f *testFleet) race() {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	var group errgroup.Group
	for i := range operators {
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
	for i := range operators {
		if got := e.Labels[fmt.Sprintf("operator-%d", i)]; got != fmt.Sprint(commitsEach-1) {
			f.t.Errorf("last change of operator %d is lost: label is %q", i, got)
		}
	}
	f.wantInForce(1 + operators*commitsEach)
}

func (f *testFleet) commitSeries(ctx context.Context, author string) error {
	last := uint64(0)
	for n := range commitsEach {
		revision, err := f.label(ctx, author, "engine-1", fmt.Sprint(n))
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

// wantInForce waits until every router has a revision in force.
func (f *testFleet) wantInForce(revision uint64) {
	f.t.Helper()
	for _, p := range f.layout.OfKind(layout.KindRouter) {
		f.eventually(fmt.Sprintf("%s has revision %d", p.Name, revision), func() bool { return f.revision(p.Name) >= revision })
	}
}

func proveRacingOperators(_ *testing.T, f *testFleet) { f.race() }

func proveRacingOperatorsWithFaults(_ *testing.T, f *testFleet) {
	f.post(layout.KeyValueName, standin.PathFaults, `{"lose_write_replies":6}`)
	f.post(layout.KeyValueName, standin.PathActions, `{"drop_watch_events":10,"end_watches":true}`)
	f.race()
}

func proveRestartsInOutage(t *testing.T, f *testFleet) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	revision, err := f.label(ctx, "operator", "engine-1", "before")
	if err != nil {
		t.Fatal(err)
	}
	f.wantInForce(revision)
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
	revision, err := f.label(ctx, "operator", "engine-1", "changed")
	if err != nil {
		t.Fatal(err)
	}
	f.eventually("router-1 has the revision", func() bool { return f.revision("router-1") == revision })
	f.post(layout.KeyValueName, standin.PathFaults, `{"outage":"cut"}`)
	f.signal("router-2", trace.ActionThaw)
	f.wantInForce(revision)
}
