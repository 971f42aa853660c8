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

// retryUntilDone makes attempts until one succeeds, a refusal says that a
// retry can't help, or the context ends. It returns the last attempt's error.
func retryUntilDone(ctx context.Context, r *route, attempt func(ctx context.Context, router string) error) error {
	pauses := newBackoff()
	for {
		err := tryOnce(ctx, r, attempt)
		if err == nil || !retryable(err) {
			return err
		}
		delay := max(pauses.NextBackOff(), retryAfter(err))
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
		r.failed()
	}
	return err
}

// retryable reports whether another attempt can help: after a lost connection,
// or a refusal with a Retry-After.
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

// connectionError tells a connection that was never made from one that broke.
func connectionError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(ErrNotConnected, err.Error())
	}
	return errors.Wrap(ErrConnectionLost, err.Error())
}

// watchdog cancels a context when no answer has begun in time, or when nothing
// was read of it for a while.
type watchdog struct {
	timer   *time.Timer
	silence time.Duration
	cancel  context.CancelFunc
}

func newWatchdog(ctx context.Context, s *Settings) (*watchdog, context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	return &watchdog{timer: time.AfterFunc(s.ResponseTimeout, cancel), silence: s.SilenceTimeout, cancel: cancel}, ctx
}

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel()
}

// reader returns a reader that restarts the timer with each read.
func (w *watchdog) reader(r io.Reader) io.Reader {
	w.timer.Reset(w.silence)
	return readerFunc(func(p []byte) (int, error) {
		n, err := r.Read(p)
		if n > 0 {
			w.timer.Reset(w.silence)
		}
		return n, err
	})
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
