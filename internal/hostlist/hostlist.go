// Package hostlist defines the platform's list of hosts and the client that
// polls it. The list lags behind the truth by seconds.
package hostlist

// Kind tells what runs on a host.
type Kind string

// Kinds of host.
const (
	KindRouter    Kind = "router"
	KindDirectory Kind = "directory"
	KindEngine    Kind = "engine"
	KindService   Kind = "service"
)

// State is the platform's view of a host.
type State string

// States of a host. A host that is absent from the list is gone.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one entry of the list.
type Host struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Address is the IP number and port that serves HTTP.
	Address string `json:"address"`
	// PeerAddress is the IP number and port for TCP and UDP between daemons;
	// empty for engines and services.
	PeerAddress   string `json:"peer_address,omitempty"`
	Region        string `json:"region,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
	State         State  `json:"state"`
}

// List is the body of GET /v1/hosts.
type List struct {
	Hosts []Host `json:"hosts"`
}

// Path is where the platform serves the list.
const Path = "/v1/hosts"
