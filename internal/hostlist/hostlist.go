// Package hostlist defines the platform's list of hosts and a client that polls
// it. The list lags behind the actual state by seconds.
package hostlist

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

// List is the body of GET /v1/hosts.
type List struct {
	Hosts []Host `json:"hosts"`
}

// Path is the path of the list on the platform's server.
const Path = "/v1/hosts"
