package trace

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrUnknownProfile means that Generate knows no such deployment.
var ErrUnknownProfile = errors.New("unknown profile: use shrestha or litoral")

// WorkspaceProfile is a workspace with its share of the traffic.
type WorkspaceProfile struct {
	Workspace
	// TurnsPerS and CallsPerS are the mean rates of arrivals.
	TurnsPerS float64
	CallsPerS float64
	// SurgeFactor multiplies TurnsPerS in the middle third of the trace; one
	// or less means no surge.
	SurgeFactor float64
}

// ChatProfile describes the chats of a deployment, in words and tokens.
type ChatProfile struct {
	Model string
	// FirstWordsMin and FirstWordsMax bound the first message of a chat.
	FirstWordsMin, FirstWordsMax int
	// NextWordsMin and NextWordsMax bound the messages after it.
	NextWordsMin, NextWordsMax int
	AnswerMin, AnswerMax       int
	// ReturnShare is the probability that a turn continues an earlier chat.
	ReturnShare float64
	// PauseMinMS is the shortest pause of a chat between two turns.
	PauseMinMS int64
	TimeoutMS  int64
}

// CallProfile is one kind of call of the deployment's service.
type CallProfile struct {
	Service string
	Method  string
	// Path may hold one %d, which becomes a number.
	Path   string
	Action bool
	// Share is the part of all calls that are of this kind.
	Share float64
	// ResendShare is the part of these calls that the caller sends twice.
	ResendShare float64
}

// Profile describes a deployment, from which Generate makes traces.
type Profile struct {
	Settings   Settings
	Workspaces []WorkspaceProfile
	Selectors  []Selector
	Chats      ChatProfile
	Calls      []CallProfile
	Changes    []Change
	Faults     []Fault
	Outcomes   []Outcome
}

// ProfileByName returns the profile "shrestha" or "litoral".
func ProfileByName(name string) (Profile, error) {
	switch name {
	case "shrestha":
		return Shrestha(), nil
	case "litoral":
		return Litoral(), nil
	default:
		return Profile{}, ErrUnknownProfile
	}
}

// engineShape holds what all engines of a deployment have in common.
type engineShape struct {
	prefix      string
	model       string
	count       int
	slots       int
	tokenMS     int64
	cacheTokens int
	labels      map[string]string
}

func (s engineShape) spread(domains []string) []Engine {
	engines := make([]Engine, s.count)
	for i := range engines {
		engines[i] = Engine{
			Name:          fmt.Sprintf("%s-%02d", s.prefix, i+1),
			FailureDomain: domains[i%len(domains)],
			Labels:        s.labels,
			Model:         s.model,
			Slots:         s.slots,
			TokenMS:       s.tokenMS,
			CacheTokens:   s.cacheTokens,
		}
	}
	return engines
}

func spreadInstances(service string, count int, domains []string, labels map[string]string) []ServiceInstance {
	instances := make([]ServiceInstance, count)
	for i := range instances {
		instances[i] = ServiceInstance{
			Name:          fmt.Sprintf("%s-%d", service, i+1),
			FailureDomain: domains[i%len(domains)],
			Labels:        labels,
		}
	}
	return instances
}

func commonOutcomes() []Outcome {
	return []Outcome{
		{Measure: MeasureWholeAnswers, Bound: 1, AtLeast: true},
		{Measure: MeasureWrongAnswers, Bound: 0},
		{Measure: MeasureRefusedTurns, Bound: 0},
		{Measure: MeasureExecutions, Bound: 1},
		{Measure: MeasureNotRunExecutions, Bound: 0},
		{Measure: MeasureDoneWithoutRun, Bound: 0},
		{Measure: MeasureConfirmedActions, Bound: 0.95, AtLeast: true},
		{Measure: MeasureSkew, Bound: 1.25},
		{Measure: MeasureControlBytes, Bound: 2048},
		{Measure: MeasureConfigurationTime, Bound: 16},
		{Measure: MeasureConfigurationReverts, Bound: 0},
	}
}
