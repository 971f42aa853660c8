package capacity

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/pause"
)

// failureTimeout bounds the wait until no router uses the killed one.
const failureTimeout = 60 * time.Second

// RouterFailure kills the last router, whose PID file is in dir, and measures the time
// until no other router uses it. It must be the last phase.
func (e *Experiment) RouterFailure(ctx context.Context, dir string) error {
	remaining := e.layout.Routers[:len(e.layout.Routers)-1]
	if err := kill(filepath.Join(dir, e.layout.Routers[len(remaining)].Name+".pid")); err != nil {
		return err
	}
	killed := time.Now()
	ctx, cancel := context.WithTimeout(ctx, failureTimeout)
	defer cancel()
	taken := make([]time.Duration, len(remaining))
	var group sync.WaitGroup
	for i, r := range remaining {
		group.Go(func() {
			e.waitRouters(ctx, r, len(remaining))
			taken[i] = time.Since(killed)
		})
	}
	group.Wait()
	if ctx.Err() != nil {
		return errors.New("timed out waiting until no router uses the killed router: see the routers' logs")
	}
	e.recordDetection(taken)
	return nil
}

func (e *Experiment) recordDetection(taken []time.Duration) {
	longest, sum := time.Duration(0), time.Duration(0)
	for _, t := range taken {
		longest = max(longest, t)
		sum += t
	}
	e.record("killed router: until a router stops using it, mean", "s", sum.Seconds()/float64(len(taken)))
	e.record("killed router: until no router uses it", "s", longest.Seconds())
}

// waitRouters waits until a router sees exactly count routers.
func (e *Experiment) waitRouters(ctx context.Context, r Node, count int) {
	for ctx.Err() == nil {
		var p page
		if e.sampler.get(ctx, r.Admin, "/metrics", &p.metrics) == nil && int(p.gauge("cluster.routers")) == count {
			return
		}
		_ = pause.For(ctx, 5*pollInterval)
	}
}

func kill(pidFile string) error {
	data, err := os.ReadFile(pidFile)
	if err != nil {
		return errors.Wrap(err, "read PID file: start the fleet with scripts/capacity.sh")
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(data)))
	if err != nil {
		return errors.Wrap(err, "process id")
	}
	process, err := os.FindProcess(pid)
	if err != nil {
		return errors.Wrap(err, "process id")
	}
	return errors.Wrap(process.Kill(), "kill a router")
}
