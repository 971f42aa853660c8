package callers

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

const pathAddress = "/v1/address"

// maxKeptAddresses bounds the addresses that a client keeps.
const maxKeptAddresses = 100000

// Address is a directory's answer.
type Address struct {
	// Address is the IP number and port of the router to use.
	Address string `json:"address"`
	Host    string `json:"host"`
	// ValidForMS is how long the answer may be kept, in milliseconds.
	ValidForMS int64 `json:"valid_for_ms"`
	// Alternates are other routers to use when the first can't be reached.
	Alternates []string `json:"alternates"`
}

// addressKey names what an address was asked for.
type addressKey struct {
	Workspace string `url:"workspace"`
	Model     string `url:"model,omitempty"`
	Service   string `url:"service,omitempty"`
	Chat      string `url:"chat,omitempty"`
}

type keptAddress struct {
	address Address
	expires time.Time
}

// lookup returns the kept address, or asks the directories for one.
func (c *Client) lookup(ctx context.Context, key addressKey) (Address, error) {
	if kept, ok := c.kept(key, time.Now()); ok {
		return kept, nil
	}
	var last error = ErrNoAddress
	for _, directory := range c.shuffledDirectories() {
		address, err := c.ask(ctx, directory, key)
		if err == nil {
			c.keep(key, address, time.Now())
			return address, nil
		}
		last = err
	}
	return Address{}, last
}

func (c *Client) kept(key addressKey, now time.Time) (Address, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept, ok := c.addresses[key]
	return kept.address, ok && now.Before(kept.expires)
}

func (c *Client) keep(key addressKey, address Address, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) >= maxKeptAddresses {
		clear(c.addresses)
	}
	validFor := time.Duration(address.ValidForMS) * time.Millisecond
	c.addresses[key] = keptAddress{address: address, expires: now.Add(validFor)}
}

func (c *Client) forget(key addressKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.addresses, key)
}

func (c *Client) shuffledDirectories() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]string, len(c.settings.Directories))
	for i, j := range c.rng.Perm(len(out)) {
		out[i] = c.settings.Directories[j]
	}
	return out
}

// ask puts the question to one directory.
func (c *Client) ask(ctx context.Context, directory string, key addressKey) (Address, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.LookupTimeout)
	defer cancel()
	request, err := sling.New().Base("http://" + directory).Get(pathAddress).QueryStruct(key).Request()
	if err != nil {
		return Address{}, errors.Wrap(err, "address request")
	}
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		return Address{}, errors.Wrap(ErrNoAddress, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Address{}, readRefusal(response)
	}
	var address Address
	if err := json.NewDecoder(response.Body).Decode(&address); err != nil {
		return Address{}, errors.Wrap(ErrInvalidResponse, err.Error())
	}
	return address, nil
}

// route is the list of routers that one call tries, best first.
type route struct {
	client    *Client
	key       addressKey
	addresses []string
}

// current returns the router to try now.
func (r *route) current(ctx context.Context) (string, error) {
	if len(r.addresses) == 0 {
		address, err := r.client.lookup(ctx, r.key)
		if err != nil {
			return "", err
		}
		r.addresses = append([]string{address.Address}, address.Alternates...)
	}
	return r.addresses[0], nil
}

// failed moves on to the next router and drops the kept answer.
func (r *route) failed() {
	if len(r.addresses) > 0 {
		r.addresses = r.addresses[1:]
	}
	r.client.forget(r.key)
}

// heed drops the kept answer when the router says that it is leaving.
func (r *route) heed(response *http.Response) {
	if response.Header.Get(HeaderMoveTo) != "" {
		r.client.forget(r.key)
	}
}

// base returns the base URL of a router.
func base(address string) string {
	return (&url.URL{Scheme: "http", Host: address}).String()
}

// readRefusal reads the refusal that a response carries.
func readRefusal(response *http.Response) error {
	var body refusal.Body
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil || body.Error.Kind == "" {
		return errors.Wrapf(ErrInvalidResponse, "status %d without a refusal", response.StatusCode)
	}
	return fromBody(body)
}

func fromBody(body refusal.Body) *refusal.Refusal {
	return &refusal.Refusal{
		Kind: body.Error.Kind, Outcome: body.Error.Outcome, Message: body.Error.Message,
		RetryAfter: time.Duration(body.Error.RetryAfterMS) * time.Millisecond,
	}
}
