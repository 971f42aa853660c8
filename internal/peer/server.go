// Package peer exchanges protobuf messages between daemons over yamux sessions,
// with one stream for each request.
package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/pause"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// headerTimeout is the longest wait for the header of an accepted stream.
const headerTimeout = 5 * time.Second

// Handler serves one stream. The context is cancelled when the stream's session
// ends.
type Handler interface {
	ServeStream(ctx context.Context, header *peerpb.StreamHeader, stream *Stream)
}

// minAcceptDelay and maxAcceptDelay bound the pause after a session could not be accepted,
// which doubles with each further one.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// Server accepts sessions from other daemons.
type Server struct {
	listener net.Listener
	handler  Handler
	sessions sync.WaitGroup
	// OnAcceptError is called when a session can't be accepted; nil means that errors are
	// not reported.
	OnAcceptError func(error)
}

// NewServer returns a server that accepts from listener. Run closes the listener
// when its context is cancelled.
func NewServer(listener net.Listener, handler Handler) *Server {
	return &Server{listener: listener, handler: handler}
}

// Run accepts sessions until the context is cancelled. It then closes the
// listener and all sessions, and returns when their handlers have returned. It goes on
// after errors that pass, such as a lack of descriptors. Its error is that of a listener
// that was closed.
func (s *Server) Run(ctx context.Context) error {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		_ = s.listener.Close()
	})
	defer stop()
	defer s.sessions.Wait()
	delay := time.Duration(0)
	for {
		conn, err := s.listener.Accept()
		if err == nil {
			delay = 0
			s.sessions.Go(func() { s.serveConn(ctx, conn) })
			continue
		}
		if errors.Is(err, net.ErrClosed) && ctx.Err() == nil {
			return err
		}
		delay = min(max(2*delay, minAcceptDelay), maxAcceptDelay)
		if !s.awaitAccept(ctx, err, delay) {
			// Accept can fail before Close has returned, and the port stays
			// in use until then.
			<-closed
			return nil
		}
	}
}

// awaitAccept waits until another session may be accepted. It returns false if the context
// has ended.
func (s *Server) awaitAccept(ctx context.Context, err error, delay time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	if s.OnAcceptError != nil {
		s.OnAcceptError(err)
	}
	return pause.For(ctx, delay) == nil
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	session, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	defer func() { _ = session.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	var streams sync.WaitGroup
	defer streams.Wait()
	for {
		accepted, err := session.AcceptStream()
		if err != nil {
			cancel()
			return
		}
		streams.Go(func() { s.serveStream(ctx, newStream(accepted)) })
	}
}

func (s *Server) serveStream(ctx context.Context, stream *Stream) {
	defer stream.Close()
	header, err := receiveHeader(stream)
	if err != nil {
		return
	}
	s.handler.ServeStream(ctx, header, stream)
}
