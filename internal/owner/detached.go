package owner

import (
	"context"
	"sync"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/engineclient"
)

// resumeGrace is the time in which a caller that lost its connection may come
// back for the rest of its answer.
const resumeGrace = 10 * time.Second

// detachedStreams holds the admission slots of streams that the engine still
// runs while nobody reads them.
type detachedStreams struct {
	mu    sync.Mutex
	slots map[string]*slot
}

func newDetachedStreams() *detachedStreams {
	return &detachedStreams{slots: make(map[string]*slot)}
}

// detach keeps the stream's slot for a grace period and then cancels the
// stream at its engine.
func (r *chatRun) detach(stream *engineclient.Stream, s *slot) {
	id := stream.ID
	stream.Close()
	if id == "" {
		s.release(EndIncomplete)
		return
	}
	streams := r.owner.detached
	streams.put(id, s)
	address := r.target.address
	time.AfterFunc(resumeGrace, func() {
		if left := streams.take(id); left != nil {
			left.release(EndIncomplete)
			_ = r.owner.Engines.Cancel(context.Background(), address, id)
		}
	})
}

func (d *detachedStreams) put(id string, s *slot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slots[id] = s
}

// take returns the slot of a detached stream, or nil, and forgets it.
func (d *detachedStreams) take(id string) *slot {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.slots[id]
	delete(d.slots, id)
	return s
}
