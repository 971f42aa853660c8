package serving

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// WithConn stores a connection in the context of its requests. It is the ConnContext of an
// http.Server.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// lingerer is implemented by TCP connections.
type lingerer interface{ SetLinger(seconds int) error }

// defaultLinger is the value by which the kernel closes a connection properly.
const defaultLinger = -1

// ResetOnClose has the connection of a request reset in place of closed, also by the kernel
// when the process is killed, until the returned function is called. It is for responses
// that end with their connection: the caller would take any other end for that of the
// response. It has no effect without WithConn.
func ResetOnClose(r *http.Request) (end func()) {
	conn, ok := r.Context().Value(connKey{}).(lingerer)
	if !ok {
		return func() {}
	}
	// Errors are ignored: a connection that takes no option is closed already.
	_ = conn.SetLinger(0)
	return func() { _ = conn.SetLinger(defaultLinger) }
}
