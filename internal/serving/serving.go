// Package serving runs HTTP servers until they are stopped.
package serving

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Timeouts bound the time that a client may take.
type Timeouts struct {
	// Header is for a request's headers, Idle for the next request on a connection. Zero
	// stands for no limit.
	Header, Idle time.Duration
}

// UntilDone serves until the context ends, and then closes the server without
// waiting for requests in flight.
func UntilDone(ctx context.Context, listener net.Listener, handler http.Handler, t Timeouts) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: t.Header, IdleTimeout: t.Idle}
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
