package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

const (
	dialTimeout = 500 * time.Millisecond
	openTimeout = 2 * time.Second
	// pingAfterIdle is the time without use after which a session must answer a
	// ping before a new stream is opened on it.
	pingAfterIdle = time.Second
	// pingTimeout is the time that the peer has to answer that ping.
	pingTimeout = 500 * time.Millisecond
	// idleTimeout is the time without use after which CloseIdle closes a session.
	idleTimeout = 90 * time.Second
)

// ErrUnreachable means that no byte of the request reached the peer.
var ErrUnreachable = errors.New("peer can't be reached: try another daemon")

// Pool keeps one yamux session open to each recently used peer. It is safe for
// concurrent use.
type Pool struct {
	mu    sync.Mutex
	peers map[string]*peerSession
}

type peerSession struct {
	mu       sync.Mutex
	session  *yamux.Session
	lastUsed time.Time
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{peers: make(map[string]*peerSession)}
}

// Open starts a stream to the peer at address (IP address and port) and sends
// the header. ErrUnreachable means that no part of the header was sent; after
// any other error the peer may have read it.
func (p *Pool) Open(ctx context.Context, address string, header *peerpb.StreamHeader) (*Stream, error) {
	session, err := p.session(ctx, address)
	if err != nil {
		return nil, err
	}
	conn, err := session.OpenStream()
	if err != nil {
		p.Discard(address)
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	stream := newStream(conn)
	if err := stream.Send(header); err != nil {
		stream.Close()
		p.Discard(address)
		return nil, err
	}
	return stream, nil
}

// Discard closes the session to a peer; the next Open dials a new connection.
func (p *Pool) Discard(address string) {
	p.mu.Lock()
	entry := p.peers[address]
	delete(p.peers, address)
	p.mu.Unlock()
	if entry != nil {
		entry.close()
	}
}

// CloseIdle closes the sessions that carry no stream and have not been used for
// idleTimeout.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	idle := make([]*peerSession, 0)
	for address, entry := range p.peers {
		if entry.idleAt(now) {
			idle = append(idle, entry)
			delete(p.peers, address)
		}
	}
	p.mu.Unlock()
	for _, entry := range idle {
		entry.close()
	}
}

// Close closes all sessions.
func (p *Pool) Close() {
	p.mu.Lock()
	entries := p.peers
	p.peers = make(map[string]*peerSession)
	p.mu.Unlock()
	for _, entry := range entries {
		entry.close()
	}
}

func (p *Pool) session(ctx context.Context, address string) (*yamux.Session, error) {
	p.mu.Lock()
	entry := p.peers[address]
	if entry == nil {
		entry = &peerSession{}
		p.peers[address] = entry
	}
	p.mu.Unlock()
	return entry.get(ctx, address)
}

func (s *peerSession) get(ctx context.Context, address string) (*yamux.Session, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.usable() {
		s.lastUsed = time.Now()
		return s.session, nil
	}
	if s.session != nil {
		_ = s.session.Close()
		s.session = nil
	}
	session, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	s.session = session
	s.lastUsed = time.Now()
	return session, nil
}

// usable reports whether a new stream can be opened on the session. An idle
// session must answer a ping first: a device on the path, such as a firewall, may
// have dropped the connection without closing it.
func (s *peerSession) usable() bool {
	if s.session == nil || s.session.IsClosed() {
		return false
	}
	if time.Since(s.lastUsed) < pingAfterIdle {
		return true
	}
	return pingWithin(s.session, pingTimeout)
}

func pingWithin(session *yamux.Session, timeout time.Duration) bool {
	result := make(chan error, 1)
	go func() {
		_, err := session.Ping()
		result <- err
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case err := <-result:
		return err == nil
	case <-timer.C:
		return false
	}
}

func (s *peerSession) idleAt(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session == nil {
		return true
	}
	return s.session.NumStreams() == 0 && now.Sub(s.lastUsed) > idleTimeout
}

func (s *peerSession) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session != nil {
		_ = s.session.Close()
		s.session = nil
	}
}

func dial(ctx context.Context, address string) (*yamux.Session, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	session, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	return session, nil
}
