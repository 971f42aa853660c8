// Package serving runs HTTP servers until they are stopped.
package serving

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// idleTimeout is how long a connection may wait for its next request: each takes a
// descriptor.
const idleTimeout = 30 * time.Second

// ErrStopping is the cause of the end of requests' contexts when the process stops.
var ErrStopping = errors.New("the process stops and ends the requests in flight: send them to another one")

// UntilDone serves until the context ends, and then closes the server without
// waiting for requests in flight. A request's headers must arrive within
// headerTimeout, and the next request on a connection within idleTimeout.
func UntilDone(ctx context.Context, listener net.Listener, handler http.Handler, headerTimeout time.Duration) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return UntilClosed(server, listener)
}

// UntilClosed serves until the server is shut down or closed.
func UntilClosed(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
