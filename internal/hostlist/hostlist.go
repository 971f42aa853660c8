// Package hostlist defines the platform's list of hosts and a client that polls
// it. The list lags behind the actual state by seconds.
package hostlist

import (
	"slices"
	"strings"
	"unicode"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/hostport"
)

// Kind is the kind of process that runs on a host.
type Kind string

// Kinds of host.
const (
	KindRouter    Kind = "router"
	KindDirectory Kind = "directory"
	KindEngine    Kind = "engine"
	KindService   Kind = "service"
)

// State is the state of a host according to the platform.
type State string

// States of a host. A host that isn't in the list is gone.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one entry of the list.
type Host struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Address is the IP address and port that serves HTTP.
	Address string `json:"address"`
	// PeerAddress is the IP address and port for TCP and UDP between daemons; it is
	// empty for engines and services.
	PeerAddress   string `json:"peer_address,omitempty"`
	Region        string `json:"region,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
	State         State  `json:"state"`
}

// check returns why an entry describes no host.
func (h Host) check() error {
	switch {
	case h.Name == "" || strings.ContainsFunc(h.Name, unicode.IsControl):
		return errors.Errorf("the name is %q: a name without control characters is expected", h.Name)
	case !slices.Contains([]Kind{KindRouter, KindDirectory, KindEngine, KindService}, h.Kind):
		return errors.Errorf("%s has the unknown kind %q", h.Name, h.Kind)
	case h.State != StateLive && h.State != StateLeaving:
		return errors.Errorf("%s has the unknown state %q: live or leaving is expected", h.Name, h.State)
	}
	for _, address := range []string{h.Address, h.PeerAddress} {
		if _, err := hostport.Parse(address); err != nil && address != "" {
			return errors.Wrapf(err, "address of %s", h.Name)
		}
	}
	return nil
}

// List is the body of GET /v1/hosts.
type List struct {
	Hosts []Host `json:"hosts"`
}

// Path is the path of the list on the platform's server.
const Path = "/v1/hosts"
