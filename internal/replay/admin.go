package replay

import (
	"context"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
)

// adminTimeout bounds one question to an admin page; a frozen process doesn't
// answer.
const adminTimeout = 200 * time.Millisecond

// commandTimeout bounds one command to an admin page. A command that is given up
// on may still be carried out, so it has more time than a question: the stand-ins
// are never frozen, and a busy machine delays them by some hundred milliseconds.
const commandTimeout = 5 * time.Second

// adminClient reads and changes the admin pages of processes.
type adminClient struct {
	http *http.Client
}

func newAdminClient() *adminClient {
	return &adminClient{http: &http.Client{Transport: &http.Transport{}}}
}

func (c *adminClient) close() { c.http.CloseIdleConnections() }

// get reads a JSON page.
func (c *adminClient) get(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	return c.do(ctx, sling.New().Base("http://"+address).Get(path), into)
}

// post sends a JSON body.
func (c *adminClient) post(ctx context.Context, address, path string, body any) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return c.do(ctx, sling.New().Base("http://"+address).Post(path).BodyJSON(body), nil)
}

func (c *adminClient) do(ctx context.Context, call *sling.Sling, into any) error {
	request, err := call.Request()
	if err != nil {
		return errors.Wrap(err, "admin request")
	}
	response, err := call.Client(c.http).Do(request.WithContext(ctx), into, nil)
	if err != nil {
		return errors.Wrap(err, request.URL.Path)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("%s: status %d", request.URL.Path, response.StatusCode)
	}
	return nil
}
