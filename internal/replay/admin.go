package replay

import (
	"context"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
)

// adminTimeout is the timeout of a read from an admin page. Suspended processes
// don't respond.
const adminTimeout = 200 * time.Millisecond

// commandTimeout is the timeout of a command to an admin page. It is longer than
// adminTimeout because a command that times out may still be executed, and a busy
// machine can delay a stand-in by several hundred milliseconds. Stand-ins that
// receive commands are never suspended.
const commandTimeout = 5 * time.Second

// adminClient reads the admin pages of processes and sends commands to them.
type adminClient struct {
	http *http.Client
}

func newAdminClient() *adminClient {
	return &adminClient{http: &http.Client{Transport: &http.Transport{}}}
}

func (c *adminClient) close() { c.http.CloseIdleConnections() }

// get reads a JSON page and decodes it.
func (c *adminClient) get(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	return c.do(ctx, sling.New().Base("http://"+address).Get(path), into)
}

// post sends a command with a JSON body.
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
