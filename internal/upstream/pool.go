package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// dialTimeout bounds the opening of a connection. It allows about twenty
	// round trips between failure domains, and is well below the timeout of an
	// interactive call.
	dialTimeout = 350 * time.Millisecond
	// maxIdleTime is the longest time that an idle connection is kept. It also
	// applies if the instance gives no keep-alive timeout.
	maxIdleTime = 8 * time.Second
	// idleMargin is subtracted from the instance's keep-alive timeout, so that
	// the instance does not close a connection on which a call is being sent.
	idleMargin = time.Second
	// sweepInterval is the time between two searches for expired connections.
	sweepInterval = 2 * time.Second
)

// Pool is a pool of idle connections to instances. It is safe for concurrent
// use.
type Pool struct {
	dialer *net.Dialer
	dials  metrics.Counter
	reuses metrics.Counter
	// overlong counts responses that exceed a size limit.
	overlong metrics.Counter

	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool that registers its counters in registry.
func NewPool(registry metrics.Registry) *Pool {
	return &Pool{
		dialer: Dialer(dialTimeout), idle: make(map[string][]*Conn),
		dials:    metrics.GetOrRegisterCounter("upstream.connections.opened", registry),
		reuses:   metrics.GetOrRegisterCounter("upstream.connections.reused", registry),
		overlong: metrics.GetOrRegisterCounter("upstream.responses.overlong", registry),
	}
}

// Get returns an idle connection to an address, or opens a new one if there is
// none. Its error is ErrUnreachable.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	if c := p.takeIdle(time.Now(), address); c != nil {
		p.reuses.Inc(1)
		return c, nil
	}
	return p.Dial(ctx, address)
}

// Dial opens a new connection. Its error is ErrUnreachable, or of its kind
// ErrNotListening.
func (p *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	p.dials.Inc(1)
	conn, err := p.dialer.DialContext(ctx, "tcp4", address)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return nil, errors.Wrap(ErrNotListening, err.Error())
	}
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	limiter := &headLimiter{conn: conn}
	return &Conn{
		conn: conn, address: address, limiter: limiter, overlong: p.overlong,
		reader: bufio.NewReaderSize(limiter, readBufferSize), writer: bufio.NewWriterSize(conn, writeBufferSize),
	}, nil
}

// takeIdle removes and returns the most recently used connection that is still
// usable. It closes those that are not, and returns nil if none is left.
func (p *Pool) takeIdle(now time.Time, address string) *Conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if now.Before(c.idleUntil) && c.usable() {
			return c
		}
		c.Close()
	}
}

func (p *Pool) pop(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c
}

// Release returns a connection to the pool after a complete response, or closes
// it if it can't be reused. The argument keepAlive is the result of
// KeepAliveTimeout.
func (p *Pool) Release(c *Conn, keepAlive time.Duration) {
	idle := maxIdleTime
	if keepAlive > 0 {
		idle = min(keepAlive-idleMargin, maxIdleTime)
	}
	if keepAlive < 0 || idle <= 0 || !c.reusable() {
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

// Run closes expired connections until ctx is done, and then closes all.
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

// sweep closes the idle connections that have expired at the given time, or all
// of them if it is the zero time.
func (p *Pool) sweep(now time.Time) {
	var expired []*Conn
	p.mu.Lock()
	for address, conns := range p.idle {
		var valid []*Conn
		for _, c := range conns {
			if !now.IsZero() && now.Before(c.idleUntil) {
				valid = append(valid, c)
				continue
			}
			expired = append(expired, c)
		}
		if len(valid) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = valid
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}
