package peer

import (
	"context"
	"net"
	"testing"
	"time"
)

// slowCloseListener returns from Accept before its Close has returned, as TCP
// listeners can on a busy machine.
type slowCloseListener struct {
	net.Listener
	closing chan struct{}
	release chan struct{}
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *slowCloseListener) Accept() (net.Conn, error) {
	<-l.closing
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *slowCloseListener) Close() error {
	close(l.closing)
	<-l.release
	close(l.closed)
	return nil
}

// Guards against Run returning while the listener is still open: a process that
// then restarts at once finds its port in use. It happens when Accept fails before
// Close has returned.
func TestRunReturnsAfterListenerIsClosed(t *testing.T) {
	l := &slowCloseListener{closing: make(chan struct{}), release: make(chan struct{}), closed: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- NewServer(l, nil).Run(ctx) }()
	cancel()
	<-l.closing
	select {
	case <-done:
		t.Fatal("Run returned before its listener was closed")
	case <-time.After(100 * time.Millisecond):
	}
	close(l.release)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	<-l.closed
}
