package hostlist

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
)

const (
	// PollOverheadBytes is the bytes of the headers of a poll and its answer.
	PollOverheadBytes = 256
	// maxListBytes bounds the list.
	maxListBytes = 16 << 20
)

// ErrUnavailable reports a poll that gave no list.
var ErrUnavailable = errors.New("host list unavailable: check platform.host_list; the last list stays in use")

// pollQuery names the poller to the platform.
type pollQuery struct {
	Poller string `url:"poller"`
}

// Client polls the list. It asks for changes only, where the platform supports
// entity tags. It is not safe for concurrent use.
type Client struct {
	url    string
	poller string
	http   *http.Client
	etag   string
}

// NewClient returns a client of the list at a base URL; poller names the
// process to the platform.
func NewClient(url, poller string, client *http.Client) *Client {
	return &Client{url: url, poller: poller, http: client}
}

// Result is the outcome of a poll.
type Result struct {
	// Changed is false when the list is that of the last poll; Hosts is empty
	// then.
	Changed bool
	Hosts   []Host
	// Bytes is what the poll cost on the wire, also when it failed.
	Bytes int
}

// Poll reads the list. Its error is ErrUnavailable, or that of a malformed URL.
func (c *Client) Poll(ctx context.Context) (Result, error) {
	request, err := c.request(ctx)
	if err != nil {
		return Result{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Result{Bytes: PollOverheadBytes}, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	return c.read(response)
}

func (c *Client) request(ctx context.Context) (*http.Request, error) {
	s := sling.New().Get(c.url).Path(Path).QueryStruct(pollQuery{Poller: c.poller})
	// Set here instead of by the transport, so that the bytes on the wire count.
	s = s.Set("Accept-Encoding", "gzip")
	if c.etag != "" {
		s = s.Set("If-None-Match", c.etag)
	}
	request, err := s.Request()
	if err != nil {
		return nil, errors.Wrap(err, "platform.host_list is no URL: write it like http://10.0.0.1:8080")
	}
	return request.WithContext(ctx), nil
}

func (c *Client) read(response *http.Response) (Result, error) {
	if response.StatusCode == http.StatusNotModified {
		return Result{Bytes: PollOverheadBytes}, nil
	}
	counted := &countingReader{reader: response.Body}
	hosts, err := readHosts(response, counted)
	result := Result{Changed: err == nil, Hosts: hosts, Bytes: PollOverheadBytes + counted.bytes}
	if err != nil {
		return result, errors.Wrap(ErrUnavailable, err.Error())
	}
	c.etag = response.Header.Get("ETag")
	return result, nil
}

// readHosts decodes the hosts of an answer whose body is given.
func readHosts(response *http.Response, body io.Reader) ([]Host, error) {
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
	var list List
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
