package etcdjson

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/kv"
)

// Watch streams the changes of keys with a prefix after a revision. The stream is
// open when Watch returns. A connection that stops delivering data without being
// closed is not detected, so callers must poll as well.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) (<-chan kv.WatchBatch, error) {
	request := watchRequest{Create: watchCreate{
		Key: rangeStart(prefix), RangeEnd: prefixEnd(prefix), StartRevision: int64String(after + 1),
	}}
	var err error
	first := s.current.Load()
	for i := range s.endpoints {
		index := (first + int64(i)) % int64(len(s.endpoints))
		var out <-chan kv.WatchBatch
		out, err = s.openWatch(ctx, s.endpoints[index]+pathWatch, request)
		if err == nil {
			return out, nil
		}
		if !errors.Is(err, kv.ErrUnavailable) || ctx.Err() != nil {
			return nil, err
		}
	}
	return nil, err
}

func (s *Store) openWatch(ctx context.Context, url string, request watchRequest) (<-chan kv.WatchBatch, error) {
	ctx, cancel := context.WithCancel(ctx)
	openTimer := time.AfterFunc(s.timeout, cancel)
	response, err := s.send(ctx, readOnly, url, request)
	if err != nil {
		cancel()
		return nil, err
	}
	if !openTimer.Stop() {
		_ = response.Body.Close()
		return nil, errors.WithMessage(kv.ErrUnavailable, "timed out opening the watch")
	}
	out := make(chan kv.WatchBatch)
	go readWatch(ctx, cancel, response, out)
	return out, nil
}

// readWatch sends the batches of a watch stream to out until the stream ends.
func readWatch(ctx context.Context, cancel context.CancelFunc, response *http.Response, out chan<- kv.WatchBatch) {
	defer close(out)
	defer cancel()
	defer response.Body.Close()
	limited := &io.LimitedReader{R: response.Body}
	decoder := json.NewDecoder(limited)
	for {
		limited.N = maxResponseBytes
		batch, ok := nextBatch(decoder)
		if !ok {
			continue
		}
		select {
		case out <- batch:
		case <-ctx.Done():
			return
		}
		if batch.Err != nil {
			return
		}
	}
}

// nextBatch reads one message; ok is false if the message has neither events nor
// an error.
func nextBatch(decoder *json.Decoder) (batch kv.WatchBatch, ok bool) {
	var message watchMessage
	if err := decoder.Decode(&message); err != nil {
		return kv.WatchBatch{Err: watchReadError(err)}, true
	}
	if message.Error != nil {
		return kv.WatchBatch{Err: message.Error.asError(http.StatusOK, readOnly)}, true
	}
	batch = message.Result.batch()
	if message.Result.Canceled {
		batch.Err = watchCancelError(message.Result)
		return batch, true
	}
	return batch, len(batch.Events) > 0
}

func watchReadError(err error) error {
	if errors.Is(err, io.EOF) {
		return errors.WithMessage(kv.ErrUnavailable, "watch stream closed by the key-value service")
	}
	return errors.WithMessage(kv.ErrUnavailable, err.Error())
}

func watchCancelError(result watchResult) error {
	if result.CompactRevision > 0 {
		return errors.WithMessagef(kv.ErrCompacted, "retained from revision %d", int64(result.CompactRevision))
	}
	return errors.WithMessage(kv.ErrUnavailable, "watch cancelled: "+result.CancelReason)
}
