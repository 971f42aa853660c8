package daemon

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/verbenatrail/verbenatrail/internal/router"
)

const (
	overloadDuration = 6 * time.Second
	// overloadTokens takes the engines of the test fleet about 0.1 s to generate.
	overloadTokens = 40
	// overloadCapacity is the number of answers per second of three engines with 16
	// slots each.
	overloadCapacity = 400
)

// BenchmarkOverload offers a fleet once and three times its capacity. It reports
// complete answers per second, refusals per second and the latency of refusals. Run
// it with:
// go test ./internal/daemon -run XXX -bench Overload -benchtime 1x
func BenchmarkOverload(b *testing.B) {
	for _, factor := range []int{1, 3} {
		b.Run(fmt.Sprintf("%dx", factor), func(b *testing.B) {
			f := startFleet(b, smallFleet)
			for b.Loop() {
				load := &offeredLoad{f: f, refusalTime: hdrhistogram.New(1, maxLatencyMicros, latencyDigits)}
				load.run(overloadCapacity * factor)
				b.ReportMetric(float64(load.completed.Load())/overloadDuration.Seconds(), "answers/s")
				b.ReportMetric(float64(load.refused.Load())/overloadDuration.Seconds(), "refusals/s")
				b.ReportMetric(float64(load.failed.Load()), "broken")
				b.ReportMetric(float64(load.refusalTime.ValueAtQuantile(99))/1000, "refusal-p99-ms")
			}
		})
	}
}

// offeredLoad is an open-loop load generator: it sends chats at a fixed rate,
// independent of the responses.
type offeredLoad struct {
	f                          *testFleet
	completed, refused, failed atomic.Int64

	mu          sync.Mutex
	refusalTime *hdrhistogram.Histogram
}

func (l *offeredLoad) run(perSecond int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}, Timeout: testTimeout}
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	var group sync.WaitGroup
	end := time.Now().Add(overloadDuration)
	for i := 0; time.Now().Before(end); i++ {
		<-ticker.C
		group.Go(func() { l.send(client, i) })
	}
	group.Wait()
}

func (l *offeredLoad) send(client *http.Client, i int) {
	c := chatRequest{router: fmt.Sprintf("router-%d", i%3+1), chat: fmt.Sprint(i % 200), prompt: fmt.Sprint("quote ", i), maxTokens: overloadTokens}
	request := l.f.chatHTTP(c)
	request.Header.Set(router.HeaderTimeoutMS, "2000")
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		l.failed.Add(1)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK {
		l.readAnswer(response)
		return
	}
	l.refused.Add(1)
	_, _ = io.Copy(io.Discard, response.Body)
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.refusalTime.RecordValue(time.Since(start).Microseconds())
}

func (l *offeredLoad) readAnswer(response *http.Response) {
	body, err := io.ReadAll(response.Body)
	if err != nil || !bytes.Contains(body, []byte("data: [DONE]")) {
		l.failed.Add(1)
		return
	}
	l.completed.Add(1)
}
