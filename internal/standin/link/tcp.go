package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// readBufferBytes is the most that one read takes from a connection.
	readBufferBytes = 16 << 10
	// maxQueuedSegments bounds the segments that wait for their delay in each
	// direction of a connection.
	maxQueuedSegments = 256
)

// pair is a client's connection and the matching connection to the target.
type pair struct {
	client   net.Conn
	target   net.Conn
	silenced atomic.Bool
}

// silence stops relaying on the pair for good and reports whether it was
// relaying before.
func (p *pair) silence() bool {
	return p.silenced.CompareAndSwap(false, true)
}

func (p *pair) close() {
	_ = p.client.Close()
	_ = p.target.Close()
}

// segment is data in flight; nil data marks the end of the stream.
type segment struct {
	data []byte
	due  time.Time
}

func (s *Server) acceptLoop(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		if s.Faults.Get().RefuseNew {
			s.updateState(func(state *State) { state.Refused++ })
			_ = client.Close()
			continue
		}
		s.goroutines.Go(func() { s.relay(client) })
	}
}

// relay connects a client to the target until both directions have ended.
func (s *Server) relay(client net.Conn) {
	target, err := net.DialTimeout("tcp", s.cfg.Target, dialTimeout)
	if err != nil {
		s.updateState(func(state *State) { state.Refused++ })
		_ = client.Close()
		return
	}
	p := &pair{client: client, target: target}
	if !s.register(p) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { s.pump(p, target, client) })
	directions.Go(func() { s.pump(p, client, target) })
	directions.Wait()
	p.close()
	s.mu.Lock()
	delete(s.pairs, p)
	s.mu.Unlock()
}

// register tracks a pair as open. It closes the pair and returns false when
// the link is closed.
func (s *Server) register(p *pair) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		p.close()
		return false
	}
	s.state.Connections++
	s.pairs[p] = struct{}{}
	return true
}

// pump copies the data of one direction with the delay.
func (s *Server) pump(p *pair, to, from net.Conn) {
	segments := make(chan segment, maxQueuedSegments)
	var writer sync.WaitGroup
	writer.Go(func() { s.deliver(p, to, segments) })
	for {
		buffer := make([]byte, readBufferBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			segments <- segment{data: buffer[:n], due: time.Now().Add(s.delay())}
		}
		if err != nil {
			break
		}
	}
	segments <- segment{due: time.Now().Add(s.delay())}
	close(segments)
	writer.Wait()
}

// deliver writes the segments when they are due. A segment that falls due
// during a blackhole silences its pair; a silenced pair receives neither data
// nor the end of the stream.
func (s *Server) deliver(p *pair, to net.Conn, segments <-chan segment) {
	for seg := range segments {
		time.Sleep(time.Until(seg.due))
		if s.Faults.Get().Blackhole && p.silence() {
			s.updateState(func(state *State) { state.Silenced++ })
		}
		if p.silenced.Load() {
			continue
		}
		if seg.data == nil {
			closeWrite(to)
			continue
		}
		n, err := to.Write(seg.data)
		s.updateState(func(state *State) { state.Bytes += int64(n) })
		if err != nil {
			p.close()
		}
	}
}

// closeWrite forwards the end of the stream in one direction.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
