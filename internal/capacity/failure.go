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

// failureTimeout bounds the wait until a killed router is out of use.
const failureTimeout = 60 * time.Second

// RouterFailure kills the last router, whose process id is in the directory, and
// measures the time until no other router uses it. It must be the last phase.
func (e *Experiment) RouterFailure(ctx context.Context, dir string) error {
	left := e.layout.Routers[:len(e.layout.Routers)-1]
	if err := kill(filepath.Join(dir, e.layout.Routers[len(left)].Name+".pid")); err != nil {
		return err
	}
	killed := time.Now()
	ctx, cancel := context.WithTimeout(ctx, failureTimeout)
	defer cancel()
	taken := make([]time.Duration, len(left))
	var group sync.WaitGroup
	for i, r := range left {
		group.Go(func() {
			e.waitRouters(ctx, r, len(left))
			taken[i] = time.Since(killed)
		})
	}
	group.Wait()
	if ctx.Err() != nil {
		return errors.New("a killed router stays in use: see the routers' logs")
	}
	e.noteDetection(taken)
	return nil
}

func (e *Experiment) noteDetection(taken []time.Duration) {
	longest, sum := time.Duration(0), time.Duration(0)
	for _, t := range taken {
		longest = max(longest, t)
		sum += t
	}
	e.note("killed router: until a router stops using it, mean", "s", sum.Seconds()/float64(len(taken)))
	e.note("killed router: until no router uses it", "s", longest.Seconds())
}

// waitRouters waits until a router sees that many routers.
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
		return errors.Wrap(err, "no process id: start the fleet with scripts/capacity.sh")
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
