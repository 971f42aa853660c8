package prove

import (
	"fmt"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/trace"
)

const (
	proofSeed     = 11
	proofDuration = 6 * time.Second
)

// smallProfile returns a deployment of three routers, four engines and two
// service instances, with chats of one to two seconds and many resent actions.
func smallProfile() trace.Profile {
	domains := []string{"balaju", "bhaktapur", "lalitpur"}
	labels := map[string]string{"site": "yard"}
	p := trace.Profile{
		Settings: trace.Settings{
			Format: trace.FormatVersion, Name: "proof", DurationMS: proofDuration.Milliseconds(),
			Region: "bagmati", FailureDomains: domains,
			Routers: 3, Directories: 2, KeyValueWritesPerS: 300, KeyValueReadsPerS: 2000, HostListLagMS: 1000,
			Services: []trace.Service{{Name: "booking"}},
		},
		Selectors: []trace.Selector{{
			Name: "all", Workspaces: labels, Upstreams: labels,
			Models: []string{"assistant"}, Services: []string{"booking"},
		}},
		Chats: trace.ChatProfile{
			Model: "assistant", FirstWordsMin: 50, FirstWordsMax: 200, NextWordsMin: 10, NextWordsMax: 30,
			AnswerMin: 40, AnswerMax: 100, ReturnShare: 0.5, PauseMinMS: 2000, TimeoutMS: 20000,
		},
		Calls: []trace.CallProfile{
			{Service: "booking", Method: "POST", Path: "/confirmations", Action: true, Share: 0.8, ResendShare: 0.6},
			{Service: "booking", Method: "GET", Path: "/machines/%d", Share: 0.2},
		},
	}
	for i := range 4 {
		p.Settings.Engines = append(p.Settings.Engines, trace.Engine{
			Name: fmt.Sprintf("engine-%d", i+1), FailureDomain: domains[i%len(domains)], Labels: labels,
			Model: "assistant", Slots: 32, TokenMS: 25, CacheTokens: 50000,
		})
	}
	for i := range 2 {
		p.Settings.Services[0].Instances = append(p.Settings.Services[0].Instances, trace.ServiceInstance{
			Name: fmt.Sprintf("booking-%d", i+1), FailureDomain: domains[i], Labels: labels,
		})
	}
	for _, name := range []string{"gorkha-roads", "koshi-builders"} {
		p.Workspaces = append(p.Workspaces, trace.WorkspaceProfile{
			Workspace:   trace.Workspace{Name: name, Labels: labels, Weight: 1, Priority: "normal"},
			TurnsPerS:   8,
			CallsPerS:   5,
			SurgeFactor: 1,
		})
	}
	return p
}

// The functions below return the outcomes that a replay must have for each promise.

func wholeAnswerOutcomes() []trace.Outcome {
	return []trace.Outcome{
		{Measure: trace.MeasureWholeAnswers, Bound: 1, AtLeast: true},
		{Measure: trace.MeasureWrongAnswers, Bound: 0},
	}
}

func notRunOutcomes() []trace.Outcome {
	return []trace.Outcome{
		{Measure: trace.MeasureNotRunExecutions, Bound: 0},
		{Measure: trace.MeasureDoneWithoutRun, Bound: 0},
	}
}

func atMostOnceOutcomes() []trace.Outcome {
	return []trace.Outcome{
		{Measure: trace.MeasureExecutions, Bound: 1},
		{Measure: trace.MeasureDoneWithoutRun, Bound: 0},
		{Measure: trace.MeasureConfirmedActions, Bound: 0.5, AtLeast: true},
	}
}

func evenLoadOutcomes() []trace.Outcome {
	return []trace.Outcome{{Measure: trace.MeasureSkew, Bound: 1.25}}
}

func noNewWorkOutcomes() []trace.Outcome {
	return append(wholeAnswerOutcomes(), trace.Outcome{Measure: trace.MeasureNewWorkOfLeaving, Bound: 0})
}

func gracefulShutdownOutcomes() []trace.Outcome {
	return append(wholeAnswerOutcomes(),
		trace.Outcome{Measure: trace.MeasureBrokenStreams, Bound: 0},
		trace.Outcome{Measure: trace.MeasureCutConnections, Bound: 0})
}

func configurationOutcomes() []trace.Outcome {
	return []trace.Outcome{
		{Measure: trace.MeasureConfigurationTime, Bound: 5},
		{Measure: trace.MeasureConfigurationReverts, Bound: 0},
	}
}
