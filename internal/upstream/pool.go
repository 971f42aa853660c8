package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// dialTimeout bounds a new connection: some twenty round trips between
	// failure domains, and well below an interactive call's patience.
	dialTimeout = 350 * time.Millisecond
	// maxIdle is how long an idle connection is kept where the instance tells no
	// time of its own.
	maxIdle = 8 * time.Second
	// idleMargin is taken off the time that an instance tells, so that it never
	// closes a connection under a call.
	idleMargin = time.Second
	// sweepInterval is the time between two looks for stale connections.
	sweepInterval = 2 * time.Second
)

// Pool keeps connections to instances. It is safe for concurrent use.
type Pool struct {
	dialer *net.Dialer
	dials  metrics.Counter
	reuses metrics.Counter

	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool whose counters go to a registry.
func NewPool(registry metrics.Registry) *Pool {
	return &Pool{
		dialer: Dialer(dialTimeout), idle: make(map[string][]*Conn),
		dials:  metrics.GetOrRegisterCounter("upstream.connections.opened", registry),
		reuses: metrics.GetOrRegisterCounter("upstream.connections.reused", registry),
	}
}

// Get returns a connection to an address, a kept one if there is any. Its
// error is ErrUnreachable.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	if c := p.take(time.Now(), address); c != nil {
		p.reuses.Inc(1)
		return c, nil
	}
	return p.Dial(ctx, address)
}

// Dial opens a new connection. Its error is ErrUnreachable.
func (p *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	p.dials.Inc(1)
	conn, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	return &Conn{
		conn: conn, address: address,
		reader: bufio.NewReaderSize(conn, readBuffer), writer: bufio.NewWriterSize(conn, writeBuffer),
	}, nil
}

// take returns the connection that was used last, if it is still good.
func (p *Pool) take(now time.Time, address string) *Conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if now.Before(c.idleUntil) && c.quiet() {
			return c
		}
		c.Close()
	}
}

func (p *Pool) pop(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	return c
}

// Release gives back a connection after a whole answer, or closes it when the
// exchange left it unfit. KeepAlive is the time that the instance told, zero
// when it told none; negative when it closes the connection.
func (p *Pool) Release(c *Conn, keepAlive time.Duration) {
	idle := maxIdle
	if keepAlive > 0 {
		idle = min(keepAlive-idleMargin, maxIdle)
	}
	if keepAlive < 0 || idle <= 0 || !c.sound() {
		c.Close()
		return
	}
	c.SetReadDeadline(time.Time{})
	c.Reused = true
	c.idleUntil = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Run closes stale connections until the context ends, and then all.
func (p *Pool) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.sweep(time.Time{})
			return nil
		case now := <-ticker.C:
			p.sweep(now)
		}
	}
}

// sweep closes the connections whose time is over; all for the zero time.
func (p *Pool) sweep(now time.Time) {
	var stale []*Conn
	p.mu.Lock()
	for address, kept := range p.idle {
		var good []*Conn
		for _, c := range kept {
			if !now.IsZero() && now.Before(c.idleUntil) {
				good = append(good, c)
				continue
			}
			stale = append(stale, c)
		}
		if len(good) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = good
	}
	p.mu.Unlock()
	for _, c := range stale {
		c.Close()
	}
}
