package dispatch

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/upstream"
)

// histogramSample is the number of values that a histogram retains.
const histogramSample = 512

// callMetrics are the counters and histograms of a Dispatcher.
type callMetrics struct {
	registry  metrics.Registry
	calls     metrics.Counter
	inFlight  metrics.Counter
	firstByte metrics.Histogram
	total     metrics.Histogram
	// invalidPauses counts responses whose pause can't be decoded or is too long.
	invalidPauses metrics.Counter
	// unidentified counts responses that don't name their call, after which the connection
	// was closed.
	unidentified metrics.Counter
	// invalidLoads counts responses whose load can't be decoded.
	invalidLoads metrics.Counter
	// invalidRateLimits counts responses whose rate limit can't be decoded.
	invalidRateLimits metrics.Counter
	// repeatedEvents and skippedEvents count events of streams whose number is not above, or
	// more than one above, that of the event before.
	repeatedEvents metrics.Counter
	skippedEvents  metrics.Counter
	// continuedSame, continuedOther and continuedUnknown count the streams that went on, by
	// whether the version that began them was that of the instance, another one, or unknown.
	continuedSame, continuedOther, continuedUnknown metrics.Counter
	// notContinued counts the streams that callers could not take up, originLookup is how
	// long it took to find out which version had begun one.
	notContinued metrics.Counter
	originLookup metrics.Histogram
	// confirmedEnds and unprovenEnds count responses that ended with their connection, by
	// whether the instance still answered afterwards.
	confirmedEnds metrics.Counter
	unprovenEnds  metrics.Counter
	// expiredPermits counts permits that were not used in time.
	expiredPermits metrics.Counter
	// stopTaken, stopRefused and stopEnded count the calls that a leaving router took, those
	// that it refused, and those that it ended unfinished.
	stopTaken, stopRefused, stopEnded metrics.Counter
}

func newCallMetrics(registry metrics.Registry) *callMetrics {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, registry, metrics.NewUniformSample(histogramSample))
	}
	return &callMetrics{
		registry:  registry,
		calls:     metrics.GetOrRegisterCounter("calls.received", registry),
		inFlight:  metrics.GetOrRegisterCounter("calls.in_flight", registry),
		firstByte: histogram("calls.first_byte.microseconds"),
		total:     histogram("calls.whole.microseconds"),

		invalidPauses:     metrics.GetOrRegisterCounter("sends.invalid_pause", registry),
		unidentified:      metrics.GetOrRegisterCounter("sends.unidentified", registry),
		invalidLoads:      metrics.GetOrRegisterCounter("sends.invalid_load", registry),
		invalidRateLimits: metrics.GetOrRegisterCounter("sends.invalid_rate_limit", registry),
		repeatedEvents:    metrics.GetOrRegisterCounter("streams.events.repeated", registry),
		skippedEvents:     metrics.GetOrRegisterCounter("streams.events.skipped", registry),
		continuedSame:     metrics.GetOrRegisterCounter("streams.continued.same_version", registry),
		continuedOther:    metrics.GetOrRegisterCounter("streams.continued.other_version", registry),
		continuedUnknown:  metrics.GetOrRegisterCounter("streams.continued.unknown_version", registry),
		notContinued:      metrics.GetOrRegisterCounter("streams.not_continued", registry),
		originLookup:      histogram("streams.origin_lookup.microseconds"),
		confirmedEnds:     metrics.GetOrRegisterCounter("responses.until_close.confirmed", registry),
		unprovenEnds:      metrics.GetOrRegisterCounter("responses.until_close.unproven", registry),
		expiredPermits:    metrics.GetOrRegisterCounter("permits.expired", registry),
		stopTaken:         metrics.GetOrRegisterCounter("calls.stop.taken", registry),
		stopRefused:       metrics.GetOrRegisterCounter("calls.stop.refused", registry),
		stopEnded:         metrics.GetOrRegisterCounter("calls.stop.ended", registry),
	}
}

func (m *callMetrics) refusals(kind refusal.Kind) metrics.Counter {
	return metrics.GetOrRegisterCounter("calls.refused."+string(kind), m.registry)
}

func (m *callMetrics) attempts(result instances.Result) metrics.Counter {
	return metrics.GetOrRegisterCounter("sends."+result.String(), m.registry)
}

func (m *callMetrics) framed(framing upstream.Framing) metrics.Counter {
	return metrics.GetOrRegisterCounter("responses.framing."+framing.String(), m.registry)
}

func (m *callMetrics) ended(outcome string) metrics.Counter {
	return metrics.GetOrRegisterCounter("calls.ended."+outcome, m.registry)
}

func microseconds(d time.Duration) int64 { return d.Microseconds() }
