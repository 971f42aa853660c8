package main

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is a response as a client received it.
type answer struct {
	status int
	header http.Header
	body   string
	// err is set if the response isn't complete.
	err error
}

func (a answer) String() string {
	if a.err != nil && a.status == 0 {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, signature %q, complete %t, body %q", a.status, a.header.Get("X-Server-Signature"), a.err == nil, a.body)
}

// call is one request of a client.
type call struct {
	method, path, id string
	deadline         time.Duration
	// prompt is the value of X-Prompt-Prefix, empty for a plain service.
	prompt string
	body   string
	// key is the caller's key, callerKey if it is empty.
	key string
}

func (c call) text() string {
	lines := []string{
		c.method + " " + c.path + " HTTP/1.1", "Host: " + callerHost, "X-Attempt-Id: " + c.id,
		fmt.Sprintf("X-Deadline-Ms: %d", c.deadline.Milliseconds()), "Authorization: Bearer " + cmp.Or(c.key, callerKey),
	}
	if c.prompt != "" {
		lines = append(lines, "X-Model: m", "X-Token-Count: 1460,80", "X-Prompt-Prefix: "+c.prompt)
	}
	if c.method != http.MethodGet {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(c.body)))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + c.body
}

// channel is a client's connection to a router.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func connect(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

func (c *channel) send(request call) error {
	_, err := io.WriteString(c.conn, request.text())
	return err
}

// slack is how much longer than its deadline a client reads.
const slack = 3 * time.Second

// receive reads the response to a request that was sent.
func (c *channel) receive(request call) answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(request.deadline + slack))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: request.method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	var body bytes.Buffer
	_, err = io.Copy(&body, response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: body.String(), err: err}
}

// ask sends a request to a router on a channel of its own and waits for the answer. It records
// both.
func (f *fleet) ask(r *router, request call) answer {
	f.record.printf("client sends %s %s %s to %s", request.id, request.method, request.path, r.name)
	a := ask(r.callers, request)
	f.record.printf("client gets for %s from %s: %s", request.id, r.name, a)
	return a
}

// ask sends a request on a channel of its own and waits for the answer.
func ask(address string, request call) answer {
	c, err := connect(address)
	if err != nil {
		return answer{err: err}
	}
	defer c.close()
	if err := c.send(request); err != nil {
		return answer{err: err}
	}
	return c.receive(request)
}
