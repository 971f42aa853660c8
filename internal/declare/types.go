// Package declare holds the operators' declarations: it parses them from YAML,
// checks them whole, compares them object by object and compiles them into the
// snapshot that traffic reads. It does no I/O but for ReadPath.
package declare

import (
	"github.com/verbenatrail/verbenatrail/internal/fleet"
)

// Kind is a kind of declared object.
type Kind string

// Kinds of object.
const (
	KindWorkspace Kind = "workspace"
	KindEngine    Kind = "engine"
	KindService   Kind = "service"
	KindSelector  Kind = "selector"
	KindDrain     Kind = "drain"
)

// Declarations are all declared objects. Each slice is sorted by name; treat
// the value as immutable.
type Declarations struct {
	Workspaces []Workspace `json:"workspaces,omitempty"`
	Engines    []Engine    `json:"engines,omitempty"`
	Services   []Service   `json:"services,omitempty"`
	Selectors  []Selector  `json:"selectors,omitempty"`
	// Drains aren't read from files: operators set and remove them one by one.
	Drains []Drain `json:"drains,omitempty"`
}

// Drain keeps new work from one upstream while it stays declared.
type Drain struct {
	// Name is the upstream's.
	Name string `json:"name"`
}

// Workspace declares one customer's share of the traffic.
type Workspace struct {
	Name   string       `json:"name"`
	Labels fleet.Labels `json:"labels,omitempty"`
	// Weight is the share in fair queueing, 1 to MaxWeight.
	Weight int `json:"weight"`
	// Priority is "low", "normal" or "high".
	Priority string `json:"priority"`
}

// Engine declares one model engine.
type Engine struct {
	Name   string       `json:"name"`
	Model  string       `json:"model"`
	Labels fleet.Labels `json:"labels,omitempty"`
	// Weight is the relative capacity, 1 to MaxWeight.
	Weight int `json:"weight"`
	// Capacity is the most requests in flight; zero means no limit.
	Capacity int `json:"capacity,omitempty"`
}

// Service declares one plain service with its instances.
type Service struct {
	Name            string        `json:"name"`
	Labels          fleet.Labels  `json:"labels,omitempty"`
	IdempotentCalls []CallPattern `json:"idempotentCalls,omitempty"`
	Instances       []Instance    `json:"instances,omitempty"`
}

// CallPattern names calls that may be repeated.
type CallPattern struct {
	Method     string `json:"method"`
	PathPrefix string `json:"pathPrefix"`
}

// Instance declares one upstream of a service. Selectors see the service's
// labels as well, unless the instance overrides them.
type Instance struct {
	Name   string       `json:"name"`
	Labels fleet.Labels `json:"labels,omitempty"`
	// Weight is the relative capacity, 1 to MaxWeight.
	Weight int `json:"weight"`
	// Capacity is the most requests in flight; zero means no limit.
	Capacity int `json:"capacity,omitempty"`
}

// Selector declares which workspaces may use which upstreams for which models
// and services.
type Selector struct {
	Name       string        `json:"name"`
	Workspaces LabelSelector `json:"workspaces"`
	Models     []string      `json:"models,omitempty"`
	Services   []string      `json:"services,omitempty"`
	Upstreams  LabelSelector `json:"upstreams"`
}

// LabelSelector matches labels when all its parts do; an empty one matches
// everything.
type LabelSelector struct {
	MatchLabels      fleet.Labels `json:"matchLabels,omitempty"`
	MatchExpressions []Expression `json:"matchExpressions,omitempty"`
}

// Operator compares a label with values.
type Operator string

// Operators of an Expression. NotIn also matches labels without the key.
const (
	OperatorIn           Operator = "In"
	OperatorNotIn        Operator = "NotIn"
	OperatorExists       Operator = "Exists"
	OperatorDoesNotExist Operator = "DoesNotExist"
)

// Expression is one condition on one label.
type Expression struct {
	Key      string   `json:"key"`
	Operator Operator `json:"operator"`
	Values   []string `json:"values,omitempty"`
}

// Matches reports whether the labels satisfy all parts of the selector.
func (s LabelSelector) Matches(labels fleet.Labels) bool {
	for key, want := range s.MatchLabels {
		if got, ok := labels[key]; !ok || got != want {
			return false
		}
	}
	for _, expression := range s.MatchExpressions {
		if !expression.matches(labels) {
			return false
		}
	}
	return true
}

func (e Expression) matches(labels fleet.Labels) bool {
	value, ok := labels[e.Key]
	switch e.Operator {
	case OperatorIn:
		return ok && e.lists(value)
	case OperatorNotIn:
		return !ok || !e.lists(value)
	case OperatorExists:
		return ok
	default:
		return !ok
	}
}

func (e Expression) lists(value string) bool {
	for _, listed := range e.Values {
		if listed == value {
			return true
		}
	}
	return false
}
