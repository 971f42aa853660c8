package owner

import (
	"context"
	"sync"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/engineclient"
)

// resumeGracePeriod is how long after a lost connection a caller may resume its
// response.
const resumeGracePeriod = 10 * time.Second

// detachedStreams holds the admission slots of streams that their engine still
// runs although they have no reader.
type detachedStreams struct {
	mu    sync.Mutex
	slots map[string]*slot
}

func newDetachedStreams() *detachedStreams {
	return &detachedStreams{slots: make(map[string]*slot)}
}

// detach keeps the stream's slot for the grace period. If the stream isn't resumed
// by then, it is cancelled at its engine.
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
	time.AfterFunc(resumeGracePeriod, func() {
		if unclaimed := streams.take(id); unclaimed != nil {
			unclaimed.release(EndIncomplete)
			_ = r.owner.Engines.Cancel(context.Background(), address, id)
		}
	})
}

func (d *detachedStreams) put(id string, s *slot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slots[id] = s
}

// take removes and returns the slot of a detached stream, or nil if there is none.
func (d *detachedStreams) take(id string) *slot {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.slots[id]
	delete(d.slots, id)
	return s
}
