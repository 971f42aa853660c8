// Package decisionlog writes one structured log line per decision. A separate
// goroutine writes the lines, so that logging never blocks the caller. Lines that
// exceed the rate limit or the queue are dropped and counted.
package decisionlog

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines bounds the lines that wait to be written.
	maxQueuedLines = 1024
	// linesPerSecond and burstLines limit the rate. A router handles some tens of
	// calls per second and logs about three lines for each.
	linesPerSecond = 400
	burstLines     = 800
	// reportInterval is the time between reports of dropped lines.
	reportInterval = time.Second
)

// Fields are the inputs and the outcome of a decision.
type Fields = logrus.Fields

// Log is a rate-limited structured log. Its methods for logging never block.
type Log struct {
	logger  *logrus.Logger
	limiter *rate.Limiter
	lines   chan []byte
	out     io.Writer
	dropped metrics.Counter
	written metrics.Counter
}

// New returns a Log that writes JSON lines to out. Call Run to write them.
func New(out io.Writer, level logrus.Level, registry metrics.Registry) *Log {
	l := &Log{
		limiter: rate.NewLimiter(linesPerSecond, burstLines),
		lines:   make(chan []byte, maxQueuedLines), out: out,
		dropped: metrics.GetOrRegisterCounter("log.lines.dropped", registry),
		written: metrics.GetOrRegisterCounter("log.lines.written", registry),
	}
	l.logger = logrus.New()
	l.logger.SetLevel(level)
	l.logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	l.logger.SetOutput(queueWriter{l})
	return l
}

// queueWriter adds each line of the logger to the queue.
type queueWriter struct{ log *Log }

// Write implements io.Writer. It copies p, which the logger reuses.
func (w queueWriter) Write(p []byte) (int, error) {
	select {
	case w.log.lines <- bytes.Clone(p):
	default:
		w.log.dropped.Inc(1)
	}
	return len(p), nil
}

// Decision logs a decision about a request, or a change in what the process knows
// of the fleet.
func (l *Log) Decision(event string, fields Fields) { l.logLimited(logrus.InfoLevel, event, fields) }

// Detail logs at debug level.
func (l *Log) Detail(event string, fields Fields) {
	if l.logger.IsLevelEnabled(logrus.DebugLevel) {
		l.logLimited(logrus.DebugLevel, event, fields)
	}
}

// Lifecycle logs a start, stop or reload, or the loss or recovery of a dependency.
// It is exempt from the rate limit.
func (l *Log) Lifecycle(event string, fields Fields) {
	l.logger.WithFields(fields).Log(logrus.InfoLevel, event)
}

// Failure logs an error that changes the behavior of the process.
func (l *Log) Failure(event string, err error, fields Fields) {
	if !l.limiter.Allow() {
		l.dropped.Inc(1)
		return
	}
	l.logger.WithFields(fields).WithError(err).Log(logrus.WarnLevel, event)
}

func (l *Log) logLimited(level logrus.Level, event string, fields Fields) {
	if !l.limiter.Allow() {
		l.dropped.Inc(1)
		return
	}
	l.logger.WithFields(fields).Log(level, event)
}

// Run writes lines until the context ends, and then those still queued.
func (l *Log) Run(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var reported int64
	for {
		select {
		case line := <-l.lines:
			l.writeLine(line)
		case <-ticker.C:
			reported = l.reportDropped(reported)
		case <-ctx.Done():
			l.drain()
			return nil
		}
	}
}

func (l *Log) writeLine(line []byte) {
	// A failure to write the log can't be logged.
	_, _ = l.out.Write(line)
	l.written.Inc(1)
}

func (l *Log) reportDropped(reported int64) int64 {
	dropped := l.dropped.Count()
	if dropped > reported {
		l.Lifecycle("log lines dropped", Fields{"lines": dropped - reported, "total": dropped})
	}
	return dropped
}

func (l *Log) drain() {
	for {
		select {
		case line := <-l.lines:
			l.writeLine(line)
		default:
			return
		}
	}
}
