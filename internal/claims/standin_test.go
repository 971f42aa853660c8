package claims

import (
	"context"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/kv/etcdjson"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/settings"
	"github.com/verbenatrail/verbenatrail/internal/standin"
	"github.com/verbenatrail/verbenatrail/internal/standin/kvserver"
	"github.com/verbenatrail/verbenatrail/internal/standin/service"
)

const (
	chaosDaemons  = 3
	chaosCallers  = 8
	chaosActions  = 25
	chaosAttempts = 4
	chaosWait     = 150 * time.Millisecond
)

// chaos runs daemons against HTTP stand-ins of the key-value service and of a
// service, while faults are injected.
type chaos struct {
	*fleet
	kv      *kvserver.Server
	service *service.Server
	address string
	// client opens a new connection for each call, because net/http may resend a
	// call that failed on a reused one.
	client *http.Client

	mu      sync.Mutex
	daemons []*Claims
	stores  []*faultyStore
}

func newChaos(t *testing.T) *chaos {
	config := kvserver.DefaultConfig()
	config.WritesPerSecond = 2000
	c := &chaos{fleet: newFleet(t), kv: kvserver.New(config), service: service.New(service.Config{ExecutionTime: time.Millisecond})}
	kvHTTP, serviceHTTP := httptest.NewServer(c.kv), httptest.NewServer(c.service)
	t.Cleanup(kvHTTP.Close)
	t.Cleanup(serviceHTTP.Close)
	store, err := etcdjson.New(etcdjson.Options{Endpoints: []string{kvHTTP.URL}})
	if err != nil {
		t.Fatal(err)
	}
	c.store, c.address = store, serviceHTTP.URL
	c.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	// Requests go to any daemon at any time, so no daemon may rely on its copy
	// of the journal.
	c.settings.TrustTime = 0
	c.settings.CheckInterval = settings.Duration(20 * time.Millisecond)
	for range chaosDaemons {
		d, s := c.daemon("daemon")
		c.daemons = append(c.daemons, d)
		c.stores = append(c.stores, s)
	}
	return c
}

func (c *chaos) pick(rng *rand.Rand) *Claims {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemons[rng.Intn(chaosDaemons)]
}

// call returns a DispatchFunc that sends the action to the service.
func (c *chaos) call(key uuid.UUID) DispatchFunc {
	return func(ctx context.Context) (Result, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.address+"/hires", http.NoBody)
		if err != nil {
			return Result{}, errors.WithStack(ErrNotDispatched)
		}
		request.Header.Set(service.HeaderIdempotencyKey, key.String())
		response, err := c.client.Do(request)
		if err != nil {
			return Result{}, err
		}
		return Result{Status: response.StatusCode}, response.Body.Close()
	}
}

// injectFault injects a random fault. Outages and freezes end after a pause.
func (c *chaos) injectFault(rng *rand.Rand) {
	pause := time.Duration(rng.Intn(60)) * time.Millisecond
	i := rng.Intn(chaosDaemons)
	switch rng.Intn(5) {
	case 0:
		c.kv.Faults.Update(func(f *kvserver.Faults) { f.Outage = standin.OutageCut })
		time.Sleep(pause)
		c.kv.Faults.Update(func(f *kvserver.Faults) { f.Outage = standin.OutageNone })
	case 1:
		c.kv.Faults.Update(func(f *kvserver.Faults) { f.LoseWriteReplies = 3 })
	case 2:
		c.service.Faults.Update(func(f *service.Faults) { f.LoseReplies, f.RefuseBefore = 2, 1 })
	case 3:
		resume := make(chan struct{})
		c.stores[i].gate.Store(&resume)
		time.Sleep(4 * pause)
		c.stores[i].gate.Store(nil)
		close(resume)
	case 4:
		d, s := c.daemon("daemon")
		c.mu.Lock()
		c.daemons[i].cancel()
		c.daemons[i], c.stores[i] = d, s
		c.mu.Unlock()
	}
	time.Sleep(pause)
}

// runCaller sends actions one after the other, and resends each through any
// daemon until it is answered. It checks each refusal as not run against the
// service's counter of executions.
func (c *chaos) runCaller(rng *rand.Rand) (answered int) {
	for range chaosActions {
		key := c.key()
		outstanding := false
		for range chaosAttempts {
			ctx, cancel := context.WithTimeout(context.Background(), chaosWait)
			_, r := c.pick(rng).Do(ctx, Action{Key: key}, c.call(key))
			outstanding = outstanding || ctx.Err() != nil
			cancel()
			runs := c.service.Executions(key.String()).Total
			if r != nil && r.Outcome == refusal.NotRun && !outstanding && runs != 0 {
				c.t.Errorf("refused as not run (%s) but ran %d times", r, runs)
			}
			if r == nil {
				answered++
				break
			}
			time.Sleep(time.Duration(rng.Intn(20)) * time.Millisecond)
		}
	}
	return answered
}

// Guards against an action that runs twice under random faults, as would happen
// without the comparison of the head or without the replay of claims. The
// service's counter of executions shows whether it did.
func TestAtMostOnceOverStandIns(t *testing.T) {
	c := newChaos(t)
	stop := make(chan struct{})
	var faults, callers sync.WaitGroup
	faults.Go(func() {
		rng := rand.New(rand.NewSource(1))
		for {
			select {
			case <-stop:
				return
			default:
				c.injectFault(rng)
			}
		}
	})
	answered := make([]int, chaosCallers)
	for i := range answered {
		callers.Go(func() { answered[i] = c.runCaller(rand.New(rand.NewSource(int64(i)))) })
	}
	callers.Wait()
	close(stop)
	faults.Wait()
	sum := 0
	for _, n := range answered {
		sum += n
	}
	executions := c.service.AllExecutions()
	for _, e := range executions.Executions {
		if e.Count > 1 {
			t.Errorf("action %s ran %d times", e.Key, e.Count)
		}
	}
	t.Logf("%d actions, %d ran, %d answered", chaosCallers*chaosActions, executions.Total, sum)
	if sum < chaosActions {
		t.Errorf("only %d actions were answered", sum)
	}
}
