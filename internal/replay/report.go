package replay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Range of the latency histograms in microseconds, and their precision in
// significant figures.
const (
	histogramLowUS     = 1
	histogramHighUS    = 600_000_000
	histogramPrecision = 3
)

// Latency holds the latency percentiles of one kind of request, in milliseconds.
type Latency struct {
	Kind  string  `json:"kind"`
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Report is the content of report.json.
type Report struct {
	Trace     string        `json:"trace"`
	Seed      uint64        `json:"seed"`
	Passed    bool          `json:"passed"`
	Verdicts  []Verdict     `json:"verdicts"`
	Latencies []Latency     `json:"latencies"`
	Failures  []string      `json:"failures,omitempty"`
	Resumes   int           `json:"resumes"`
	Restarts  int           `json:"restarts"`
	Faults    []FaultRecord `json:"faults"`
	// Samples is the number of all samples. Uneven lists those with the highest
	// skew.
	Samples int            `json:"samples"`
	Uneven  []UnevenSample `json:"uneven,omitempty"`
}

// maxFailures is the maximum number of failures in a report.
const maxFailures = 50

// NewReport summarizes a record and its verdicts.
func NewReport(r *Record, verdicts []Verdict) *Report {
	report := &Report{
		Trace: r.Trace.Settings.Name, Seed: r.Trace.Settings.Seed,
		Passed: Passed(verdicts), Verdicts: verdicts, Latencies: latencies(r), Faults: r.Faults,
		Samples: len(r.Samples), Uneven: unevenSamples(r),
	}
	for _, t := range r.Turns {
		report.Resumes += t.Resumes
		report.Restarts += t.Restarts
	}
	report.Failures = failures(r)
	return report
}

func failures(r *Record) []string {
	var out []string
	for _, t := range r.Turns {
		if t.Wrong {
			out = append(out, "turn "+t.ID+": the answer differs from the expected one")
		}
		if t.Failure != "" {
			out = append(out, "turn "+t.ID+": "+t.Failure)
		}
	}
	out = append(out, contradictions(r)...)
	for _, c := range r.Calls {
		if c.Failure != "" {
			out = append(out, fmt.Sprintf("call %s ended %q: %s", c.ID, c.Outcome, c.Failure))
		}
	}
	sort.Strings(out)
	return out[:min(len(out), maxFailures)]
}

func latencies(r *Record) []Latency {
	first, whole := newHistogram(), newHistogram()
	action, call := newHistogram(), newHistogram()
	for _, t := range r.Turns {
		if t.Whole {
			observe(first, t.FirstToken)
			observe(whole, t.Latency)
		}
	}
	for _, c := range r.Calls {
		if c.ActionKey != "" {
			observe(action, c.Latency)
		} else {
			observe(call, c.Latency)
		}
	}
	return []Latency{
		summary("first token", first), summary("whole answer", whole),
		summary("action", action), summary("idempotent call", call),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLowUS, histogramHighUS, histogramPrecision)
}

func observe(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(histogramLowUS, min(d.Microseconds(), histogramHighUS)))
}

func summary(kind string, h *hdrhistogram.Histogram) Latency {
	valueMS := func(percentile float64) float64 { return float64(h.ValueAtPercentile(percentile)) / 1000 }
	return Latency{Kind: kind, Count: h.TotalCount(), P50: valueMS(50), P95: valueMS(95), P99: valueMS(99), Max: valueMS(100)}
}

// Write writes report.json, report.md, the plots, and the records of turns, calls and
// samples to a directory.
func Write(dir string, r *Record, report *Report) error {
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "report")
	}
	if err := os.WriteFile(filepath.Join(dir, "report.json"), data, 0o644); err != nil {
		return errors.Wrap(err, "can't write report: set --out to a writable directory")
	}
	if err := writePlots(dir, r); err != nil {
		return err
	}
	if err := writeLines(filepath.Join(dir, "turns.jsonl"), r.Turns); err != nil {
		return err
	}
	if err := writeLines(filepath.Join(dir, "samples.jsonl"), r.Samples); err != nil {
		return err
	}
	if err := writeLines(filepath.Join(dir, "calls.jsonl"), r.Calls); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(filepath.Join(dir, "report.md"), []byte(report.markdown()), 0o644), "report")
}

// writeLines writes records to a file in the JSON Lines format.
func writeLines[T any](path string, records []T) error {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	for _, record := range records {
		if err := encoder.Encode(record); err != nil {
			return errors.Wrap(err, path)
		}
	}
	return errors.Wrap(os.WriteFile(path, out.Bytes(), 0o644), "report")
}

func (r *Report) markdown() string {
	var out strings.Builder
	fmt.Fprintf(&out, "# Replay of %s, seed %d\n\n", r.Trace, r.Seed)
	out.WriteString("| outcome | value | bound | verdict |\n|---|---|---|---|\n")
	for _, v := range r.Verdicts {
		fmt.Fprintf(&out, "| %s | %.4g | %.4g | %s %s |\n", v.Outcome.Measure, v.Value, v.Outcome.Bound, v.Judgement, v.Reason)
	}
	out.WriteString("\n| latency in ms | count | p50 | p95 | p99 | highest |\n|---|---|---|---|---|---|\n")
	for _, l := range r.Latencies {
		fmt.Fprintf(&out, "| %s | %d | %.1f | %.1f | %.1f | %.1f |\n", l.Kind, l.Count, l.P50, l.P95, l.P99, l.Max)
	}
	fmt.Fprintf(&out, "\nStreams resumed by callers: %d. Answers restarted: %d.\n\n", r.Resumes, r.Restarts)
	for _, name := range []string{plotLoad, plotReuse, plotControl} {
		fmt.Fprintf(&out, "![%s](%s)\n\n", name, name)
	}
	for _, failure := range r.Failures {
		fmt.Fprintf(&out, "- %s\n", failure)
	}
	return out.String()
}

// UnevenSample is the load of one pool in a sample in which its skew exceeds 1.
type UnevenSample struct {
	AtS     float64 `json:"at_s"`
	Pool    string  `json:"pool"`
	Mean    float64 `json:"mean"`
	Highest float64 `json:"highest"`
	Skew    float64 `json:"skew"`
}

// maxUneven is the maximum number of uneven samples in a report.
const maxUneven = 100

// unevenSamples returns the samples with the highest skew, in descending order.
func unevenSamples(r *Record) []UnevenSample {
	var out []UnevenSample
	for _, sample := range r.arrivalSamples() {
		for pool, load := range poolLoads(sample) {
			if load.Skew() > 1 {
				out = append(out, UnevenSample{sample.At.Seconds(), pool, load.Mean, load.Highest, load.Skew()})
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Skew > out[j].Skew })
	return out[:min(len(out), maxUneven)]
}
