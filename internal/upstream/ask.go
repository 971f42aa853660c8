package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/pause"
)

const (
	// EndCheckTimeout bounds the query of an instance after a response that ended with its
	// connection. The caller waits for the end of its response meanwhile.
	EndCheckTimeout = 250 * time.Millisecond
	// maxAnswerBytes bounds the body of the answer to a query.
	maxAnswerBytes = 256 << 10
	// askAgainAfter is the time until a query is sent again over another connection. A process
	// that is being ended has closed its listener by then.
	askAgainAfter = 30 * time.Millisecond
	// maxAsks is the number of connections that a query may take.
	maxAsks = 2
)

// Answer is what an instance shows of itself when it is sent a query.
type Answer struct {
	// Response is the head of the answer, nil if the instance accepts connections and gives
	// none: it holds them open for the whole time, or closes them at once, one after another.
	Response *http.Response
	// Body is the body of the answer.
	Body []byte
}

// Ask sends a query to an instance over a new connection, which it closes afterwards. It is
// for the question whether a process still runs: the kernel refuses connections to one that
// has ended, and resets those that it had accepted. Its errors are ErrUnreachable, ErrBroken
// and, for an answer that is too long, ErrTooLong.
func (p *Pool) Ask(ctx context.Context, address string, query *Request, limit time.Duration) (*Answer, error) {
	end := time.Now().Add(limit)
	for range maxAsks {
		answer, err := p.askOnce(ctx, address, query, end)
		if answer != nil || err != nil {
			return answer, err
		}
		if err := pause.For(ctx, min(askAgainAfter, time.Until(end))); err != nil {
			return nil, errors.Wrap(ErrBroken, err.Error())
		}
	}
	return &Answer{}, nil
}

// askOnce is Ask with one connection. It returns neither an answer nor an error if the
// connection was accepted and closed.
func (p *Pool) askOnce(ctx context.Context, address string, query *Request, end time.Time) (*Answer, error) {
	dialing, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	conn, err := p.Dial(dialing, address)
	if err != nil {
		return nil, err
	}
	// The connection isn't kept: the answer names no call.
	defer conn.Close()
	defer conn.CloseOnDone(ctx)()
	conn.SetReadDeadline(end)
	if err = conn.Send(query); err == nil {
		_, err = conn.reader.Peek(1)
	}
	switch {
	case ctx.Err() != nil:
		return nil, errors.Wrap(ErrBroken, ctx.Err().Error())
	case isTimeout(err):
		return &Answer{}, nil
	case err != nil:
		return nil, nil
	}
	return conn.readAnswer(query.Method)
}

// Query sends a query over the connection before its call, and returns the answer. Its errors
// are ErrBroken and, for an answer that is too long, ErrTooLong. The connection can carry the
// call afterwards unless Answer.Response.Close is set.
func (c *Conn) Query(ctx context.Context, query *Request, limit time.Duration) (*Answer, error) {
	defer c.CloseOnDone(ctx)()
	c.SetReadDeadline(time.Now().Add(limit))
	if err := c.Send(query); err != nil {
		return nil, err
	}
	return c.readAnswer(query.Method)
}

func (c *Conn) readAnswer(method string) (*Answer, error) {
	head, err := c.ReadHead(method)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(head.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(ErrBroken, err.Error())
	case len(body) > maxAnswerBytes:
		return nil, c.tooLong("the answer to a query: more than %d bytes", maxAnswerBytes)
	default:
		return &Answer{Response: head, Body: body}, nil
	}
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
