package link

import (
	"net"
	"time"
)

const (
	// datagramBytes is the size of the largest datagram.
	datagramBytes = 64 << 10
	// sessionIdle ends the session of a sender that gets no more answers.
	sessionIdle = time.Minute
)

// session is the socket that stands for one sender at the target.
type session struct {
	upstream net.Conn
}

// datagramLoop relays the datagrams of all senders to the target.
func (s *Server) datagramLoop(packets net.PacketConn) {
	buffer := make([]byte, datagramBytes)
	for {
		n, sender, err := packets.ReadFrom(buffer)
		if err != nil {
			return
		}
		if s.dropped(n) {
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

// dropped counts a datagram and reports whether it is dropped.
func (s *Server) dropped(size int) bool {
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

// session returns the session of a sender, or nil when it can't be opened.
func (s *Server) session(packets net.PacketConn, sender net.Addr) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	if present := s.sessions[sender.String()]; present != nil {
		return present
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
	s.work.Go(func() { s.answerLoop(packets, sender, opened) })
	return opened
}

// answerLoop relays the target's datagrams to one sender until the session is
// idle or the link is closed.
func (s *Server) answerLoop(packets net.PacketConn, sender net.Addr, from *session) {
	buffer := make([]byte, datagramBytes)
	for {
		_ = from.upstream.SetReadDeadline(time.Now().Add(sessionIdle))
		n, err := from.upstream.Read(buffer)
		if err != nil {
			break
		}
		if s.dropped(n) {
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
