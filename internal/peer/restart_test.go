package peer

import (
	"context"
	"net"
	"testing"
	"time"
)

// slowListener ends Accept before its Close has returned, as the kernel's
// listeners do on a busy machine.
type slowListener struct {
	net.Listener
	closing chan struct{}
	release chan struct{}
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	<-l.closing
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *slowListener) Close() error {
	close(l.closing)
	<-l.release
	close(l.closed)
	return nil
}

// A server that has ended has given its port back: its process may start again on
// it at once.
func TestAnEndedServerHasClosedItsListener(t *testing.T) {
	l := &slowListener{closing: make(chan struct{}), release: make(chan struct{}), closed: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- NewServer(l, nil).Run(ctx) }()
	cancel()
	<-l.closing
	select {
	case <-done:
		t.Fatal("the server has ended before its listener is closed")
	case <-time.After(100 * time.Millisecond):
	}
	close(l.release)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	<-l.closed
}
