package cluster

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/hostlist"
)

const (
	// pollOverhead is the bytes of the headers of a poll and its answer.
	pollOverhead = 256
	// maxListBytes bounds the host list.
	maxListBytes = 16 << 20
	// maxListInterval bounds how far a long list stretches the poll interval.
	maxListInterval = 30 * time.Second
)

// ErrListUnavailable reports a poll of the host list that gave none.
var ErrListUnavailable = errors.New("host list unavailable: check platform.host_list; the last list stays in use")

// pollQuery names the daemon to the platform.
type pollQuery struct {
	Poller string `url:"poller"`
}

// listPoller reads the host list again and again. It asks for changes only,
// where the platform supports entity tags.
type listPoller struct {
	url      string
	self     string
	client   *http.Client
	interval time.Duration
	// bytesPerSecond bounds the polls.
	bytesPerSecond float64
	etag           string
}

func newListPoller(o Options) *listPoller {
	return &listPoller{
		url:            o.HostListURL,
		self:           o.Self.Name,
		client:         &http.Client{Timeout: o.Settings.ListTimeout.Std()},
		interval:       o.Settings.ListInterval.Std(),
		bytesPerSecond: float64(o.Settings.BytesPerSecond) * listShare,
	}
}

// listResult is the outcome of a poll. A nil list without an error means that
// nothing changed.
type listResult struct {
	hosts []hostlist.Host
	bytes int
	err   error
}

// run polls until the context ends.
func (p *listPoller) run(ctx context.Context, deliver func(listResult)) error {
	defer p.client.CloseIdleConnections()
	for {
		result := p.poll(ctx)
		if ctx.Err() != nil {
			return nil
		}
		deliver(result)
		if !sleep(ctx, p.pause(result.bytes)) {
			return nil
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// pause is the time to the next poll after one of that many bytes, with up to
// a tenth of jitter.
func (p *listPoller) pause(bytes int) time.Duration {
	const jitterParts = 10
	affordable := time.Duration(float64(bytes) / p.bytesPerSecond * float64(time.Second))
	pause := max(p.interval, min(affordable, maxListInterval))
	return pause + rand.N(pause/jitterParts+1)
}

func (p *listPoller) poll(ctx context.Context) listResult {
	request, err := p.request(ctx)
	if err != nil {
		return listResult{err: err}
	}
	response, err := p.client.Do(request)
	if err != nil {
		return listResult{bytes: pollOverhead, err: errors.Wrap(ErrListUnavailable, err.Error())}
	}
	defer response.Body.Close()
	return p.read(response)
}

func (p *listPoller) request(ctx context.Context) (*http.Request, error) {
	s := sling.New().Get(p.url).Path(hostlist.Path).QueryStruct(pollQuery{Poller: p.self})
	// Set here instead of by the transport, so that the bytes on the wire count.
	s = s.Set("Accept-Encoding", "gzip")
	if p.etag != "" {
		s = s.Set("If-None-Match", p.etag)
	}
	request, err := s.Request()
	if err != nil {
		return nil, errors.Wrap(err, "platform.host_list is no URL: write it like http://10.0.0.1:8080")
	}
	return request.WithContext(ctx), nil
}

func (p *listPoller) read(response *http.Response) listResult {
	if response.StatusCode == http.StatusNotModified {
		return listResult{bytes: pollOverhead}
	}
	counted := &countingReader{reader: response.Body}
	hosts, err := readList(response, counted)
	result := listResult{hosts: hosts, bytes: pollOverhead + counted.bytes}
	if err != nil {
		result.err = errors.Wrap(ErrListUnavailable, err.Error())
		return result
	}
	p.etag = response.Header.Get("ETag")
	return result
}

// readList decodes the hosts of an answer whose body is given.
func readList(response *http.Response, body io.Reader) ([]hostlist.Host, error) {
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", response.StatusCode)
	}
	if response.Header.Get("Content-Encoding") == "gzip" {
		unzipped, err := gzip.NewReader(body)
		if err != nil {
			return nil, err
		}
		body = unzipped
	}
	var list hostlist.List
	if err := json.NewDecoder(io.LimitReader(body, maxListBytes)).Decode(&list); err != nil {
		return nil, err
	}
	return list.Hosts, nil
}

// countingReader counts the bytes that pass.
type countingReader struct {
	reader io.Reader
	bytes  int
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	c.bytes += n
	return n, err
}
