// Package declare implements the operators' declarations: it parses them from
// YAML, validates them as a whole, diffs them object by object and compiles them
// into the snapshot that requests are routed by. Only ReadPath and Load do I/O.
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

// Declarations holds all declared objects. Each slice is sorted by name. The value
// must be treated as immutable.
type Declarations struct {
	Workspaces []Workspace `json:"workspaces,omitempty"`
	Engines    []Engine    `json:"engines,omitempty"`
	Services   []Service   `json:"services,omitempty"`
	Selectors  []Selector  `json:"selectors,omitempty"`
	// Drains aren't read from files; operators set and remove them individually.
	Drains []Drain `json:"drains,omitempty"`
}

// Drain stops new requests to one upstream for as long as the drain is declared.
type Drain struct {
	// Name is the name of the upstream.
	Name string `json:"name"`
}

// Workspace declares one customer and its share of the traffic.
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
	// Capacity is the maximum number of requests in flight; zero means no limit.
	Capacity int `json:"capacity,omitempty"`
}

// Service declares one service with its instances.
type Service struct {
	Name            string        `json:"name"`
	Labels          fleet.Labels  `json:"labels,omitempty"`
	IdempotentCalls []CallPattern `json:"idempotentCalls,omitempty"`
	Instances       []Instance    `json:"instances,omitempty"`
}

// CallPattern matches idempotent calls, which may be retried.
type CallPattern struct {
	Method     string `json:"method"`
	PathPrefix string `json:"pathPrefix"`
}

// Instance declares one upstream of a service. It inherits the service's labels
// and overrides those with the same key.
type Instance struct {
	Name   string       `json:"name"`
	Labels fleet.Labels `json:"labels,omitempty"`
	// Weight is the relative capacity, 1 to MaxWeight.
	Weight int `json:"weight"`
	// Capacity is the maximum number of requests in flight; zero means no limit.
	Capacity int `json:"capacity,omitempty"`
}

// Selector grants the matching workspaces the use of the matching upstreams for
// the listed models and services.
type Selector struct {
	Name       string        `json:"name"`
	Workspaces LabelSelector `json:"workspaces"`
	Models     []string      `json:"models,omitempty"`
	Services   []string      `json:"services,omitempty"`
	Upstreams  LabelSelector `json:"upstreams"`
}

// LabelSelector matches labels that satisfy all of its conditions; an empty
// selector matches everything.
type LabelSelector struct {
	MatchLabels      fleet.Labels `json:"matchLabels,omitempty"`
	MatchExpressions []Expression `json:"matchExpressions,omitempty"`
}

// Operator is the comparison of an Expression.
type Operator string

// Operators of an Expression. NotIn also matches when the key is absent.
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

// Matches reports whether the labels satisfy all conditions of the selector.
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
		return ok && e.hasValue(value)
	case OperatorNotIn:
		return !ok || !e.hasValue(value)
	case OperatorExists:
		return ok
	default:
		return !ok
	}
}

func (e Expression) hasValue(value string) bool {
	for _, v := range e.Values {
		if v == value {
			return true
		}
	}
	return false
}
