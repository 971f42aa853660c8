package capacity

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/directory"
	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/router"
)

const (
	callTimeout      = 90 * time.Second
	idleConnsPerHost = 512
)

// caller sends requests to the fleet as its callers do.
type caller struct {
	layout *Layout
	client *http.Client
}

func newCaller(layout *Layout) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnsPerHost}
	return &caller{layout: layout, client: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// turn is one request of a chat.
type turn struct {
	number    int
	maxTokens int
}

func (t turn) chat() string            { return fmt.Sprintf("chat-%d", t.number) }
func (t turn) workspace(s Size) string { return workspaceName(t.number % s.Workspaces) }
func (t turn) model(s Size) string     { return modelName(t.number % s.Models) }

// addressQuery is the query of an address lookup at the directory.
type addressQuery struct {
	Workspace string `url:"workspace"`
	Model     string `url:"model"`
	Chat      string `url:"chat"`
}

// lookup asks the directory for the router that owns the engine of a chat.
func (c *caller) lookup(ctx context.Context, t turn) (directory.AddressResponse, error) {
	size := c.layout.Size
	query := addressQuery{Workspace: t.workspace(size), Model: t.model(size), Chat: t.chat()}
	var answer directory.AddressResponse
	request, err := sling.New().Get("http://" + c.layout.Directory.Callers + directory.PathAddress).QueryStruct(query).Request()
	if err != nil {
		return answer, errors.Wrap(err, "address lookup")
	}
	response, err := sling.New().Client(c.client).Do(request.WithContext(ctx), &answer, nil)
	if err != nil {
		return answer, errors.Wrap(err, "address lookup")
	}
	if response.StatusCode != http.StatusOK {
		return answer, errors.Errorf("address lookup: status %d", response.StatusCode)
	}
	return answer, nil
}

// openStream sends a turn to a router and returns the body of the response, a
// stream of events.
func (c *caller) openStream(ctx context.Context, address string, t turn) (io.ReadCloser, error) {
	size := c.layout.Size
	body := engineapi.ChatRequest{
		Model: t.model(size), MaxTokens: t.maxTokens, Stream: true,
		Messages: []engineapi.Message{{Role: "user", Content: "draft a quote for " + t.chat()}},
	}
	request, err := sling.New().Post("http://"+address+router.PathChat).BodyJSON(body).
		Set(router.HeaderWorkspace, t.workspace(size)).Set(router.HeaderChat, t.chat()).Request()
	if err != nil {
		return nil, errors.Wrap(err, "chat")
	}
	response, err := c.client.Do(request.WithContext(ctx))
	if err != nil {
		return nil, errors.Wrap(err, "chat")
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, errors.Errorf("chat: status %d", response.StatusCode)
	}
	return response.Body, nil
}

// sendTurn sends a turn, reads the complete answer and returns the time until the
// first event.
func (c *caller) sendTurn(ctx context.Context, address string, t turn) (time.Duration, error) {
	begun := time.Now()
	stream, err := c.openStream(ctx, address, t)
	if err != nil {
		return 0, err
	}
	defer func() { _ = stream.Close() }()
	// Routers send the response headers together with the first event.
	first := time.Since(begun)
	scanner := bufio.NewScanner(stream)
	for scanner.Scan() {
		if strings.HasSuffix(scanner.Text(), engineapi.DoneMarker) {
			return first, nil
		}
	}
	return 0, errors.New("chat: stream ended before the done marker")
}

// sendAction sends one non-idempotent call and returns its response time.
func (c *caller) sendAction(ctx context.Context, address string, number int) (time.Duration, error) {
	begun := time.Now()
	key, err := uuid.NewV7()
	if err != nil {
		return 0, errors.Wrap(err, "action key")
	}
	path := router.PathServices + serviceName + "/confirm"
	request, err := sling.New().Post("http://"+address+path).Body(strings.NewReader(`{"machine":"excavator"}`)).
		Set(router.HeaderWorkspace, workspaceName(number%c.layout.Size.Workspaces)).
		Set(router.HeaderActionKey, key.String()).Request()
	if err != nil {
		return 0, errors.Wrap(err, "action")
	}
	response, err := c.client.Do(request.WithContext(ctx))
	if err != nil {
		return 0, errors.Wrap(err, "action")
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK {
		return 0, errors.Errorf("action: status %d", response.StatusCode)
	}
	return time.Since(begun), nil
}
