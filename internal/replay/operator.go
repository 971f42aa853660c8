package replay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/configstore"
	"github.com/verbenatrail/verbenatrail/internal/declare"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/kv/etcdjson"
	"github.com/verbenatrail/verbenatrail/internal/layout"
	"github.com/verbenatrail/verbenatrail/internal/trace"
)

// commitTimeout is the timeout of one commit.
const commitTimeout = 15 * time.Second

// operatorName is the author recorded in the commits of a replay.
const operatorName = "replay"

// playChanges makes the commits of the trace in sequence.
func (r *run) playChanges(ctx context.Context) {
	for _, change := range r.options.Trace.Changes {
		if r.waitUntil(ctx, change.At()) != nil {
			return
		}
		record := ChangeRecord{ID: change.ID}
		revision, err := r.commit(ctx, change)
		record.Revision, record.At = revision, time.Since(r.started)
		if err != nil {
			record.Failure = err.Error()
		}
		r.mu.Lock()
		r.record.Changes = append(r.record.Changes, record)
		r.mu.Unlock()
	}
}

func (r *run) commit(ctx context.Context, change trace.Change) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	service, err := r.options.Layout.ByName(layout.KeyValueName)
	if err != nil {
		return 0, err
	}
	store, err := etcdjson.New(etcdjson.Options{Endpoints: []string{"http://" + service.Address}})
	if err != nil {
		return 0, err
	}
	current, err := configstore.NewReader(store).LoadAll(ctx)
	if err != nil {
		return 0, err
	}
	changed, err := declarationChange(current.Declarations, change)
	if err != nil {
		return 0, err
	}
	committer := configstore.NewCommitter(configstore.CommitterOptions{Store: store, Author: operatorName})
	return committer.Commit(ctx, current.Revision, []declare.Change{changed})
}

// declarationChange converts a change of the trace to a change of the declarations d.
func declarationChange(d *declare.Declarations, change trace.Change) (declare.Change, error) {
	if change.Drain {
		drain := &declare.Drain{Name: change.Upstream}
		return declare.Change{Kind: declare.KindDrain, Name: change.Upstream, Drain: drain}, nil
	}
	if e, ok := d.Engine(change.Upstream); ok {
		e.Labels = fleet.Labels(change.Labels)
		return declare.Change{Kind: declare.KindEngine, Name: e.Name, Engine: &e}, nil
	}
	for _, s := range d.Services {
		for i := range s.Instances {
			if s.Instances[i].Name != change.Upstream {
				continue
			}
			s.Instances = append([]declare.Instance(nil), s.Instances...)
			s.Instances[i].Labels = fleet.Labels(change.Labels)
			return declare.Change{Kind: declare.KindService, Name: s.Name, Service: &s}, nil
		}
	}
	return declare.Change{}, errors.Errorf("upstream %s is not declared", change.Upstream)
}
