package trace

// Shrestha returns the profile of an equipment rental company with twelve engines
// for the assistant, three instances of the booking service and four routers.
func Shrestha() Profile {
	domains := []string{"balaju", "bhaktapur", "lalitpur"}
	assistant := map[string]string{"task": "assistant"}
	booking := map[string]string{"app": "booking"}
	engines := engineTemplate{
		prefix: "assistant", model: "assistant", count: 12,
		slots: 32, tokenMS: 50, cacheTokens: 60000, labels: assistant,
	}
	return Profile{
		Settings: Settings{
			Format: FormatVersion, Name: "shrestha", DurationMS: 40000,
			Region: "bagmati", FailureDomains: domains,
			DomainDelayUS: 1000, ClientDelayUS: 1000,
			Routers: 4, Directories: 2,
			Engines: engines.spread(domains),
			Services: []Service{{
				Name:      "booking",
				Instances: spreadInstances("booking", 3, domains, booking),
			}},
			KeyValueWritesPerS: 300, KeyValueReadsPerS: 2000, HostListLagMS: 2000,
		},
		Workspaces: shresthaWorkspaces(),
		Selectors: []Selector{
			{Name: "assistant", Models: []string{"assistant"}, Workspaces: map[string]string{"customer": "contractor"}, Upstreams: assistant},
			{Name: "booking", Services: []string{"booking"}, Workspaces: map[string]string{"customer": "contractor"}, Upstreams: booking},
		},
		Chats: ChatProfile{
			Model: "assistant", FirstWordsMin: 200, FirstWordsMax: 900,
			NextWordsMin: 10, NextWordsMax: 60, AnswerMin: 60, AnswerMax: 200,
			ReturnShare: 0.7, PauseMinMS: 8000, TimeoutMS: 40000,
		},
		Calls: []CallProfile{
			{Service: "booking", Method: "POST", Path: "/confirmations", Action: true, Share: 0.4, ResendShare: 0.3},
			{Service: "booking", Method: "POST", Path: "/releases", Action: true, Share: 0.2, ResendShare: 0.3},
			{Service: "booking", Method: "GET", Path: "/machines/%d", Share: 0.4},
		},
		Changes: []Change{
			{AtMS: 8000, ID: "label-12", Upstream: "assistant-12", Labels: map[string]string{"task": "assistant", "maintenance": "planned"}},
		},
		Faults: []Fault{
			{AtMS: 10000, Target: "assistant-03", Action: ActionKill},
			{AtMS: 14000, Target: "assistant-07", Action: ActionFreeze},
			{AtMS: 17000, Target: "router-2", Action: ActionKill},
			{AtMS: 20000, Target: "assistant-07", Action: ActionThaw},
			{AtMS: 24000, Target: "assistant-05", Action: ActionShutdown},
		},
		Outcomes: append(commonOutcomes(), Outcome{Measure: MeasureCacheReuse, Bound: 0.8, AtLeast: true},
			Outcome{Measure: MeasureCacheReuseOfPossible, Bound: 0.95, AtLeast: true}),
	}
}

func shresthaWorkspaces() []WorkspaceProfile {
	rates := []struct {
		name         string
		turns, calls float64
		surge        float64
	}{
		{"gorkha-roads", 6, 1.2, 1}, {"karnali-hydro", 5, 0.8, 3}, {"koshi-builders", 3, 0.6, 1},
		{"mechi-cranes", 1, 0.2, 1}, {"seti-bridges", 1, 0.2, 1}, {"rapti-tunnels", 0.8, 0.2, 1},
		{"bheri-dams", 0.6, 0.1, 1}, {"lumbini-sites", 0.5, 0.1, 1}, {"tamor-lines", 0.4, 0.1, 1},
		{"yard-desk", 0.4, 0.2, 1},
	}
	out := make([]WorkspaceProfile, len(rates))
	for i, r := range rates {
		out[i] = WorkspaceProfile{
			Workspace: Workspace{
				Name: r.name, Labels: map[string]string{"customer": "contractor"},
				Weight: 1, Priority: "normal",
			},
			TurnsPerS: r.turns, CallsPerS: r.calls, SurgeFactor: r.surge,
		}
	}
	return out
}
