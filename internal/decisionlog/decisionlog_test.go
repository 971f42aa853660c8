package decisionlog

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	data    bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.data.Write(p)
}

// A blocked output doesn't block callers: lines that exceed the queue are dropped
// and counted.
func TestLinesAreDroppedAndCounted(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	registry := metrics.NewRegistry()
	l := New(out, logrus.InfoLevel, registry)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- l.Run(ctx) }()
	const lines = 10 * maxQueuedLines
	started := time.Now()
	for range lines {
		l.Lifecycle("line", nil)
	}
	close(out.release)
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	// The log reports dropped lines in a line of its own each reportInterval, which may be
	// dropped itself.
	reports := int64(time.Since(started) / reportInterval)
	reported := int64(strings.Count(out.data.String(), "log lines dropped"))
	written := int64(strings.Count(out.data.String(), "\n")) - reported
	dropped := metrics.GetOrRegisterCounter("log.lines.dropped", registry).Count()
	if surplus := written + dropped - lines; dropped == 0 || surplus < 0 || surplus > reports-reported {
		t.Errorf("%d lines written and %d dropped of %d, with %d of at most %d reports", written, dropped, lines, reported, reports)
	}
}

func TestRateIsLimited(t *testing.T) {
	registry := metrics.NewRegistry()
	var out bytes.Buffer
	l := New(&out, logrus.InfoLevel, registry)
	for range 3 * burstLines {
		l.Decision("decision", nil)
	}
	if queued := len(l.lines); queued < burstLines || queued > burstLines+linesPerSecond {
		t.Errorf("%d lines of a burst were queued", queued)
	}
}

func TestLinesAreStructured(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, logrus.InfoLevel, metrics.NewRegistry())
	l.Decision("call placed", Fields{"call": "c1", "load": 3})
	l.Failure("store lost", errors.New("gone"), Fields{"revision": 7})
	l.Detail("not shown", nil)
	l.drain()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("%d lines: %s", len(lines), out.String())
	}
	var first, second map[string]any
	if err := errors.Wrap(json.Unmarshal([]byte(lines[0]), &first), "first"); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal([]byte(lines[1]), &second); err != nil {
		t.Fatal(err)
	}
	if first["msg"] != "call placed" || first["call"] != "c1" || second["error"] != "gone" {
		t.Errorf("lines %v and %v", first, second)
	}
}
