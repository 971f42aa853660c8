package link

import (
	"net"
	"time"
)

const (
	// maxDatagramBytes is the size of the largest datagram that is relayed.
	maxDatagramBytes = 64 << 10
	// sessionIdleTimeout ends a session that has had no reply from the target
	// for this long.
	sessionIdleTimeout = time.Minute
)

// session is the socket towards the target for the datagrams of one sender.
type session struct {
	upstream net.Conn
}

// datagramLoop relays the datagrams of all senders to the target.
func (s *Server) datagramLoop(packets net.PacketConn) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, sender, err := packets.ReadFrom(buffer)
		if err != nil {
			return
		}
		if s.countDatagram(n) {
			continue
		}
		to := s.session(packets, sender)
		if to == nil {
			continue
		}
		data := append([]byte(nil), buffer[:n]...)
		time.AfterFunc(s.delay(), func() { _, _ = to.upstream.Write(data) })
	}
}

// countDatagram counts a datagram and reports whether it is to be dropped.
func (s *Server) countDatagram(size int) bool {
	faults := s.Faults.Get()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Datagrams++
	s.state.DatagramBytes += int64(size)
	if !faults.Blackhole && s.random.Float64() >= faults.DropDatagrams {
		return false
	}
	s.state.DatagramsDropped++
	return true
}

// session returns the session of a sender, opened if necessary, or nil when it
// can't be opened.
func (s *Server) session(packets net.PacketConn, sender net.Addr) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing := s.sessions[sender.String()]; existing != nil {
		return existing
	}
	if s.closed {
		return nil
	}
	upstream, err := net.Dial("udp", s.cfg.Target)
	if err != nil {
		return nil
	}
	opened := &session{upstream: upstream}
	s.sessions[sender.String()] = opened
	s.goroutines.Go(func() { s.replyLoop(packets, sender, opened) })
	return opened
}

// replyLoop relays the target's datagrams to one sender until the session
// times out or the link is closed.
func (s *Server) replyLoop(packets net.PacketConn, sender net.Addr, from *session) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		_ = from.upstream.SetReadDeadline(time.Now().Add(sessionIdleTimeout))
		n, err := from.upstream.Read(buffer)
		if err != nil {
			break
		}
		if s.countDatagram(n) {
			continue
		}
		data := append([]byte(nil), buffer[:n]...)
		time.AfterFunc(s.delay(), func() { _, _ = packets.WriteTo(data, sender) })
	}
	_ = from.upstream.Close()
	s.mu.Lock()
	delete(s.sessions, sender.String())
	s.mu.Unlock()
}
