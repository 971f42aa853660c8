package capacity

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/standin"
	"github.com/verbenatrail/verbenatrail/internal/standin/kvserver"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
)

const sampleTimeout = 10 * time.Second

// metric is one entry of a metrics page: a counter or a gauge.
type metric struct {
	Count float64 `json:"count"`
	Value float64 `json:"value"`
}

// page is the metrics page of one process.
type page struct{ metrics map[string]metric }

func (p page) counter(name string) float64 { return p.metrics[name].Count }
func (p page) gauge(name string) float64   { return p.metrics[name].Value }

// cpuSeconds returns the CPU time that the process has used.
func (p page) cpuSeconds() float64 { return p.gauge(telemetry.GaugeCPU) / float64(time.Second) }

// Sample holds the metrics of all processes at one time.
type Sample struct {
	at        time.Time
	routers   []page
	directory page
	kv        kvserver.State
}

// Sampler reads the metrics of the processes of one fleet.
type Sampler struct {
	layout *Layout
	client *http.Client
}

// NewSampler returns a sampler of a running fleet.
func NewSampler(layout *Layout) *Sampler {
	return &Sampler{layout: layout, client: &http.Client{Timeout: sampleTimeout}}
}

// Take reads all processes, the routers concurrently.
func (s *Sampler) Take(ctx context.Context) (*Sample, error) {
	sample := &Sample{at: time.Now(), routers: make([]page, len(s.layout.Routers))}
	if err := s.get(ctx, s.layout.KV, standin.PathState, &sample.kv); err != nil {
		return nil, err
	}
	if err := s.get(ctx, s.layout.Directory.Admin, "/metrics", &sample.directory.metrics); err != nil {
		return nil, err
	}
	failures := make([]error, len(s.layout.Routers))
	var group sync.WaitGroup
	for i, r := range s.layout.Routers {
		group.Go(func() { failures[i] = s.get(ctx, r.Admin, "/metrics", &sample.routers[i].metrics) })
	}
	group.Wait()
	for _, err := range failures {
		if err != nil {
			return nil, err
		}
	}
	return sample, nil
}

func (s *Sampler) get(ctx context.Context, address, path string, into any) error {
	request, err := sling.New().Get("http://" + address + path).Request()
	if err != nil {
		return errors.Wrap(err, "sample")
	}
	response, err := s.client.Do(request.WithContext(ctx))
	if err != nil {
		return errors.Wrap(err, "sample (is the process still running?)")
	}
	defer func() { _ = response.Body.Close() }()
	return errors.Wrap(json.NewDecoder(response.Body).Decode(into), "sample "+path)
}

// post sends a JSON body to a stand-in.
func (s *Sampler) post(ctx context.Context, address, path string, body any) error {
	request, err := sling.New().Post("http://" + address + path).BodyJSON(body).Request()
	if err != nil {
		return errors.Wrap(err, "stand-in")
	}
	response, err := s.client.Do(request.WithContext(ctx))
	if err != nil {
		return errors.Wrap(err, "stand-in")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("stand-in refused %s with status %d", path, response.StatusCode)
	}
	return nil
}

// Span is the time between two samples.
type Span struct{ before, after *Sample }

// seconds returns the length of the span.
func (s Span) seconds() float64 { return s.after.at.Sub(s.before.at).Seconds() }

// count returns the growth of a counter, summed over all routers.
func (s Span) count(name string) float64 {
	sum := 0.0
	for i := range s.after.routers {
		sum += s.after.routers[i].counter(name) - s.before.routers[i].counter(name)
	}
	return sum
}

// perRouterSecond returns the growth of a counter per router and second.
func (s Span) perRouterSecond(name string) float64 {
	return s.count(name) / float64(len(s.after.routers)) / s.seconds()
}

// datagramBytes returns the bytes per second that a router sends and receives as
// datagrams. Polls of the host list, which share the counter, are subtracted.
func (s Span) datagramBytes() float64 {
	all := s.perRouterSecond("cluster.sent.bytes") + s.perRouterSecond("cluster.received.bytes")
	return all - s.perRouterSecond("cluster.received.bytes.list")
}

// cpu returns the CPU time that all routers used, in seconds.
func (s Span) cpu() float64 {
	sum := 0.0
	for i := range s.after.routers {
		sum += s.after.routers[i].cpuSeconds() - s.before.routers[i].cpuSeconds()
	}
	return sum
}

// directoryCPU returns the CPU time that the directory used, in seconds.
func (s Span) directoryCPU() float64 {
	return s.after.directory.cpuSeconds() - s.before.directory.cpuSeconds()
}

// mean returns the mean of a gauge over the routers.
func (s *Sample) mean(name string) float64 {
	sum := 0.0
	for _, r := range s.routers {
		sum += r.gauge(name)
	}
	return sum / float64(len(s.routers))
}

// sum returns the sum of a counter over the routers.
func (s *Sample) sum(name string) float64 {
	sum := 0.0
	for _, r := range s.routers {
		sum += r.counter(name)
	}
	return sum
}

// highest returns the highest value of a gauge over the routers.
func (s *Sample) highest(name string) float64 {
	value := 0.0
	for _, r := range s.routers {
		value = max(value, r.gauge(name))
	}
	return value
}

// machineLoad returns the machine's load average over one minute, or zero on systems
// without /proc/loadavg.
func machineLoad() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	load, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0
	}
	return load
}
