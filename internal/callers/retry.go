package callers

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/pause"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// retryUntilDone makes attempts until one succeeds, one fails with an error that
// isn't retryable, or the context ends. It returns the last attempt's error.
func retryUntilDone(ctx context.Context, r *route, attempt func(ctx context.Context, router string) error) error {
	intervals := newBackoff()
	for {
		err := tryOnce(ctx, r, attempt)
		if err == nil || !retryable(err) {
			return err
		}
		delay := max(intervals.NextBackOff(), retryAfter(err))
		if pause.For(ctx, delay) != nil {
			return err
		}
	}
}

func tryOnce(ctx context.Context, r *route, attempt func(ctx context.Context, router string) error) error {
	if err := pause.For(ctx, r.client.settings.RequestDelay); err != nil {
		return errors.Wrap(ErrNotConnected, err.Error())
	}
	router, err := r.current(ctx)
	if err != nil {
		return err
	}
	err = attempt(ctx, router)
	if err != nil {
		r.advance()
	}
	return err
}

// retryable reports whether another attempt can succeed: after a failed lookup or
// connection, or after a refusal with Retry-After.
func retryable(err error) bool {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return r.RetryAfter > 0
	}
	return errors.Is(err, ErrConnectionLost) || errors.Is(err, ErrNotConnected) || errors.Is(err, ErrNoAddress)
}

func retryAfter(err error) time.Duration {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return r.RetryAfter
	}
	return 0
}

// connectionError distinguishes a failed dial from a connection that failed later.
func connectionError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(ErrNotConnected, err.Error())
	}
	return errors.Wrap(ErrConnectionLost, err.Error())
}

// watchdog cancels a context if no response headers arrive within ResponseTimeout,
// or if no byte of the body arrives within SilenceTimeout.
type watchdog struct {
	timer        *time.Timer
	stallTimeout time.Duration
	cancel       context.CancelFunc
}

func newWatchdog(ctx context.Context, s *Settings) (*watchdog, context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	return &watchdog{timer: time.AfterFunc(s.ResponseTimeout, cancel), stallTimeout: s.StallTimeout, cancel: cancel}, ctx
}

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel()
}

// reader returns a reader of r that restarts the timer whenever bytes are read.
func (w *watchdog) reader(r io.Reader) io.Reader {
	w.timer.Reset(w.stallTimeout)
	return readerFunc(func(p []byte) (int, error) {
		n, err := r.Read(p)
		if n > 0 {
			w.timer.Reset(w.stallTimeout)
		}
		return n, err
	})
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
