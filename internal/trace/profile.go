package trace

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrUnknownProfile means that ProfileByName has no profile of that name.
var ErrUnknownProfile = errors.New("unknown profile: use shrestha or litoral")

// WorkspaceProfile is a workspace with its traffic.
type WorkspaceProfile struct {
	Workspace
	// TurnsPerS and CallsPerS are mean arrival rates.
	TurnsPerS float64
	CallsPerS float64
	// SurgeFactor multiplies TurnsPerS in the middle third of the trace. Values
	// of 1 or less have no effect.
	SurgeFactor float64
}

// ChatProfile describes the chats of a deployment, in words and tokens.
type ChatProfile struct {
	Model string
	// FirstWordsMin and FirstWordsMax bound the length of a chat's first message.
	FirstWordsMin, FirstWordsMax int
	// NextWordsMin and NextWordsMax bound the length of its other messages.
	NextWordsMin, NextWordsMax int
	AnswerMin, AnswerMax       int
	// ReturnShare is the probability that a turn continues an earlier chat.
	ReturnShare float64
	// PauseMinMS is the minimum time between two turns of a chat.
	PauseMinMS int64
	TimeoutMS  int64
}

// CallProfile describes one kind of call to the deployment's service.
type CallProfile struct {
	Service string
	Method  string
	// Path may contain one %d, which is replaced by a random number.
	Path   string
	Action bool
	// Share is the fraction of all calls that are of this kind.
	Share float64
	// ResendShare is the fraction of these calls that the caller sends twice.
	ResendShare float64
}

// Profile describes a deployment and its traffic. Generate makes traces from it.
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

// engineTemplate holds the properties that all engines of a deployment share.
type engineTemplate struct {
	prefix      string
	model       string
	count       int
	slots       int
	tokenMS     int64
	cacheTokens int
	labels      map[string]string
}

func (s engineTemplate) spread(domains []string) []Engine {
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
