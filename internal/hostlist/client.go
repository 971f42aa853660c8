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
	// PollOverheadBytes is the approximate size of the headers of a poll's request
	// and response.
	PollOverheadBytes = 256
	// MaxListBytes bounds a list, as sent and decompressed.
	MaxListBytes = 16 << 20
)

// ErrUnavailable reports that a poll failed.
var ErrUnavailable = errors.New("host list unavailable: check platform.host_list; the last list stays in use")

// pollQuery is the query string of a poll, with the name of the polling process.
type pollQuery struct {
	Poller string `url:"poller"`
}

// Client polls the list. If the platform supports entity tags, it transfers the
// list only when it has changed. It is not safe for concurrent use.
type Client struct {
	url    string
	poller string
	http   *http.Client
	etag   string
}

// NewClient returns a client for the list at a base URL. The platform gets poller
// as the name of the polling process.
func NewClient(url, poller string, client *http.Client) *Client {
	return &Client{url: url, poller: poller, http: client}
}

// Result is the result of a poll.
type Result struct {
	// Changed is false if the list is the same as in the last poll or the poll
	// failed; Hosts is then empty.
	Changed bool
	Hosts   []Host
	// Skipped is the number of entries that describe no host, Problem the reason for the
	// last of them.
	Skipped int
	Problem string
	// Bytes is the number of bytes of the request and the response on the wire,
	// also for a failed poll.
	Bytes int
}

// Poll requests the list. Its error wraps ErrUnavailable, unless the URL is
// malformed.
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
	// If the transport set this header, it would decompress the body, and the
	// bytes on the wire could not be counted.
	s = s.Set("Accept-Encoding", "gzip")
	if c.etag != "" {
		s = s.Set("If-None-Match", c.etag)
	}
	request, err := s.Request()
	if err != nil {
		return nil, errors.Wrap(err, "platform.host_list is not a valid URL, such as http://10.0.0.1:8080")
	}
	return request.WithContext(ctx), nil
}

func (c *Client) read(response *http.Response) (Result, error) {
	if response.StatusCode == http.StatusNotModified {
		return Result{Bytes: PollOverheadBytes}, nil
	}
	counted := &countingReader{reader: response.Body}
	entries, err := readEntries(response, counted)
	result := Result{Changed: err == nil, Bytes: PollOverheadBytes + counted.bytes}
	result.decode(entries)
	if err != nil {
		return result, errors.Wrap(ErrUnavailable, err.Error())
	}
	c.etag = response.Header.Get("ETag")
	return result, nil
}

// readEntries returns the undecoded entries in body, the body of a response.
func readEntries(response *http.Response, body io.Reader) ([]json.RawMessage, error) {
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
	var list struct {
		Hosts []json.RawMessage `json:"hosts"`
	}
	if err := json.NewDecoder(io.LimitReader(body, MaxListBytes)).Decode(&list); err != nil {
		return nil, err
	}
	return list.Hosts, nil
}

// decode decodes the entries of a list. It skips those that describe no host, so that one of
// them doesn't hide the others.
func (r *Result) decode(entries []json.RawMessage) {
	for _, entry := range entries {
		var h Host
		err := json.Unmarshal(entry, &h)
		if err == nil {
			err = h.check()
		}
		if err != nil {
			r.Skipped++
			r.Problem = err.Error()[:min(len(err.Error()), maxProblemBytes)]
			continue
		}
		r.Hosts = append(r.Hosts, h)
	}
}

// maxProblemBytes bounds the description of an entry that is skipped.
const maxProblemBytes = 200

// countingReader counts the bytes that are read from reader.
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
