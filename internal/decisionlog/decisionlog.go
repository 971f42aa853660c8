// Package decisionlog writes one structured line for each decision. Lines are
// written by a goroutine of their own; a caller never waits, and what exceeds
// the rate or the queue is dropped and counted.
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
	// queueLines bounds the lines that wait for the writer.
	queueLines = 1024
	// linesPerSecond and burstLines bound the volume: a router takes some tens
	// of calls a second, with about three lines each.
	linesPerSecond = 400
	burstLines     = 800
	// reportInterval is the time between two lines about dropped ones.
	reportInterval = time.Second
)

// Fields are the inputs and the outcome of a decision.
type Fields = logrus.Fields

// Log takes lines. Its methods never block.
type Log struct {
	logger  *logrus.Logger
	limiter *rate.Limiter
	lines   chan []byte
	out     io.Writer
	dropped metrics.Counter
	written metrics.Counter
}

// New returns a Log of JSON lines; call Run to have them written.
func New(out io.Writer, level logrus.Level, registry metrics.Registry) *Log {
	l := &Log{
		limiter: rate.NewLimiter(linesPerSecond, burstLines),
		lines:   make(chan []byte, queueLines), out: out,
		dropped: metrics.GetOrRegisterCounter("log.lines.dropped", registry),
		written: metrics.GetOrRegisterCounter("log.lines.written", registry),
	}
	l.logger = logrus.New()
	l.logger.SetLevel(level)
	l.logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	l.logger.SetOutput(queueWriter{l})
	return l
}

// queueWriter hands each line of the logger to the writer's queue.
type queueWriter struct{ log *Log }

// Write implements io.Writer; the logger reuses p.
func (w queueWriter) Write(p []byte) (int, error) {
	select {
	case w.log.lines <- bytes.Clone(p):
	default:
		w.log.dropped.Inc(1)
	}
	return len(p), nil
}

// Decision logs a decision about a request or a change of belief.
func (l *Log) Decision(event string, fields Fields) { l.write(logrus.InfoLevel, event, fields) }

// Detail logs what is needed for a close look only.
func (l *Log) Detail(event string, fields Fields) {
	if l.logger.IsLevelEnabled(logrus.DebugLevel) {
		l.write(logrus.DebugLevel, event, fields)
	}
}

// Lifecycle logs a start, stop, reload, or a lost or regained dependency. It
// isn't limited by the rate.
func (l *Log) Lifecycle(event string, fields Fields) {
	l.logger.WithFields(fields).Log(logrus.InfoLevel, event)
}

// Failure logs an error that changes what the process does.
func (l *Log) Failure(event string, err error, fields Fields) {
	if !l.limiter.Allow() {
		l.dropped.Inc(1)
		return
	}
	l.logger.WithFields(fields).WithError(err).Log(logrus.WarnLevel, event)
}

func (l *Log) write(level logrus.Level, event string, fields Fields) {
	if !l.limiter.Allow() {
		l.dropped.Inc(1)
		return
	}
	l.logger.WithFields(fields).Log(level, event)
}

// Run writes lines until the context ends, and then what is queued.
func (l *Log) Run(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var reported int64
	for {
		select {
		case line := <-l.lines:
			l.emit(line)
		case <-ticker.C:
			reported = l.reportDropped(reported)
		case <-ctx.Done():
			l.drain()
			return nil
		}
	}
}

func (l *Log) emit(line []byte) {
	// A log that can't be written has no other place to be told.
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
			l.emit(line)
		default:
			return
		}
	}
}
