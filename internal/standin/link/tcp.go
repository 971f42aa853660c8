package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// segmentBytes is the size of a read.
	segmentBytes = 16 << 10
	// segmentsInFlight bounds the data that waits for its delay, for each
	// direction of a connection.
	segmentsInFlight = 256
)

// pair is one connection from a client and the one to the target.
type pair struct {
	client   net.Conn
	target   net.Conn
	silenced atomic.Bool
}

// silence makes the pair silent, and reports whether it wasn't yet.
func (p *pair) silence() bool {
	return p.silenced.CompareAndSwap(false, true)
}

func (p *pair) close() {
	_ = p.client.Close()
	_ = p.target.Close()
}

// segment is data on its way; nil data is the end of the direction.
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
			s.count(func(state *State) { state.Refused++ })
			_ = client.Close()
			continue
		}
		s.work.Go(func() { s.relay(client) })
	}
}

// relay connects a client with the target until both directions have ended.
func (s *Server) relay(client net.Conn) {
	target, err := net.DialTimeout("tcp", s.cfg.Target, dialTimeout)
	if err != nil {
		s.count(func(state *State) { state.Refused++ })
		_ = client.Close()
		return
	}
	p := &pair{client: client, target: target}
	if !s.add(p) {
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

// add registers a pair. It closes the pair and returns false when the link is
// closed.
func (s *Server) add(p *pair) bool {
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

// pump moves one direction's data with the delay.
func (s *Server) pump(p *pair, to, from net.Conn) {
	segments := make(chan segment, segmentsInFlight)
	var writer sync.WaitGroup
	writer.Go(func() { s.deliver(p, to, segments) })
	for {
		buffer := make([]byte, segmentBytes)
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

// deliver writes the segments when they are due. A silenced pair, and one that
// has data during a blackhole, gets neither data nor the end.
func (s *Server) deliver(p *pair, to net.Conn, segments <-chan segment) {
	for seg := range segments {
		time.Sleep(time.Until(seg.due))
		if s.Faults.Get().Blackhole && p.silence() {
			s.count(func(state *State) { state.Silenced++ })
		}
		if p.silenced.Load() {
			continue
		}
		if seg.data == nil {
			closeWrite(to)
			continue
		}
		n, err := to.Write(seg.data)
		s.count(func(state *State) { state.Bytes += int64(n) })
		if err != nil {
			p.close()
		}
	}
}

// closeWrite passes on the end of one direction.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
