package callers

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

const pathAddress = "/v1/address"

// maxControlBytes bounds the responses of the fleet that aren't a call's result.
const maxControlBytes = 64 << 10

// maxCachedAddresses is the size limit of a client's address cache.
const maxCachedAddresses = 100000

// Address is a directory's response to an address lookup.
type Address struct {
	// Address is the IP address and port of the router to use.
	Address string `json:"address"`
	// Host is the name of that router.
	Host string `json:"host"`
	// ValidForMS is the time for which the response may be cached, in
	// milliseconds.
	ValidForMS int64 `json:"valid_for_ms"`
	// Alternates are the addresses of other routers, to use when Address can't
	// be reached.
	Alternates []string `json:"alternates"`
}

// addressKey holds the parameters of an address lookup.
type addressKey struct {
	Workspace string `url:"workspace"`
	Model     string `url:"model,omitempty"`
	Service   string `url:"service,omitempty"`
	Chat      string `url:"chat,omitempty"`
}

type cacheEntry struct {
	address Address
	expires time.Time
}

// lookup returns the cached address for key, or requests one from the directories
// in random order.
func (c *Client) lookup(ctx context.Context, key addressKey) (Address, error) {
	if cached, ok := c.cachedAddress(key, time.Now()); ok {
		return cached, nil
	}
	var lastErr error = ErrNoAddress
	for _, directory := range c.shuffledDirectories() {
		address, err := c.fetchAddress(ctx, directory, key)
		if err == nil {
			c.cacheAddress(key, address, time.Now())
			return address, nil
		}
		lastErr = err
	}
	return Address{}, lastErr
}

func (c *Client) cachedAddress(key addressKey, now time.Time) (Address, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, ok := c.addresses[key]
	return entry.address, ok && now.Before(entry.expires)
}

func (c *Client) cacheAddress(key addressKey, address Address, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) >= maxCachedAddresses {
		clear(c.addresses)
	}
	validFor := time.Duration(address.ValidForMS) * time.Millisecond
	c.addresses[key] = cacheEntry{address: address, expires: now.Add(validFor)}
}

func (c *Client) dropAddress(key addressKey) {
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

// fetchAddress sends an address lookup to one directory.
func (c *Client) fetchAddress(ctx context.Context, directory string, key addressKey) (Address, error) {
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
	if err := json.NewDecoder(io.LimitReader(response.Body, maxControlBytes)).Decode(&address); err != nil {
		return Address{}, errors.Wrap(ErrInvalidResponse, err.Error())
	}
	return address, nil
}

// route is the list of routers that one call may try, in order of preference.
type route struct {
	client    *Client
	key       addressKey
	addresses []string
}

// current returns the address of the router to try next. It looks up the
// addresses if none is left.
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

// advance moves on to the next router after a failed attempt, and drops the cached
// address.
func (r *route) advance() {
	if len(r.addresses) > 0 {
		r.addresses = r.addresses[1:]
	}
	r.client.dropAddress(r.key)
}

// checkMoveTo drops the cached address if the response says that the router is
// leaving.
func (r *route) checkMoveTo(response *http.Response) {
	if response.Header.Get(HeaderMoveTo) != "" {
		r.client.dropAddress(r.key)
	}
}

// baseURL returns the base URL of a router.
func baseURL(address string) string {
	return (&url.URL{Scheme: "http", Host: address}).String()
}

// readRefusal decodes the refusal in a response's body.
func readRefusal(response *http.Response) error {
	var body refusal.Body
	if err := json.NewDecoder(io.LimitReader(response.Body, maxControlBytes)).Decode(&body); err != nil || body.Error.Kind == "" {
		return errors.Wrapf(ErrInvalidResponse, "status %d without a refusal", response.StatusCode)
	}
	return refusalFromBody(body)
}

func refusalFromBody(body refusal.Body) *refusal.Refusal {
	return &refusal.Refusal{
		Kind: body.Error.Kind, Outcome: body.Error.Outcome, Message: body.Error.Message,
		RetryAfter: time.Duration(body.Error.RetryAfterMS) * time.Millisecond,
	}
}
