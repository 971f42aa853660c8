package trace

// Litoral returns the profile of a water utility with ten engines for the contract
// assistant, three instances of the work order service and four routers. Contract
// review has the highest priority.
func Litoral() Profile {
	domains := []string{"santa-fe", "parana", "rosario"}
	contracts := map[string]string{"task": "contracts"}
	workOrders := map[string]string{"app": "workorders"}
	engines := engineTemplate{
		prefix: "contracts", model: "contracts", count: 10,
		slots: 32, tokenMS: 50, cacheTokens: 60000, labels: contracts,
	}
	return Profile{
		Settings: Settings{
			Format: FormatVersion, Name: "litoral", DurationMS: 40000,
			Region: "litoral", FailureDomains: domains,
			DomainDelayUS: 1500, ClientDelayUS: 1000,
			Routers: 4, Directories: 2,
			Engines: engines.spread(domains),
			Services: []Service{{
				Name:            "workorders",
				Instances:       spreadInstances("workorders", 3, domains, workOrders),
				IdempotentCalls: []IdempotentCall{{Method: "POST", PathPrefix: "/lookups"}},
			}},
			KeyValueWritesPerS: 300, KeyValueReadsPerS: 2000, HostListLagMS: 2000,
		},
		Workspaces: litoralWorkspaces(),
		Selectors: []Selector{
			{Name: "contracts", Models: []string{"contracts"}, Workspaces: map[string]string{"company": "litoral"}, Upstreams: contracts},
			{Name: "workorders", Services: []string{"workorders"}, Workspaces: map[string]string{"company": "litoral"}, Upstreams: workOrders},
		},
		Chats: ChatProfile{
			Model: "contracts", FirstWordsMin: 300, FirstWordsMax: 1200,
			NextWordsMin: 10, NextWordsMax: 80, AnswerMin: 80, AnswerMax: 240,
			ReturnShare: 0.6, PauseMinMS: 8000, TimeoutMS: 40000,
		},
		Calls: []CallProfile{
			{Service: "workorders", Method: "POST", Path: "/orders", Action: true, Share: 0.2, ResendShare: 0.3},
			{Service: "workorders", Method: "POST", Path: "/assignments", Action: true, Share: 0.1, ResendShare: 0.3},
			{Service: "workorders", Method: "GET", Path: "/orders/%d", Share: 0.5},
			{Service: "workorders", Method: "POST", Path: "/lookups", Share: 0.2},
		},
		Changes: []Change{
			{AtMS: 9000, ID: "label-10", Upstream: "contracts-10", Labels: map[string]string{"task": "contracts", "maintenance": "planned"}},
		},
		Faults: []Fault{
			{AtMS: 9500, Target: "key-value", Action: ActionFreeze},
			{AtMS: 12000, Target: "contracts-02", Action: ActionFreeze},
			{AtMS: 15000, Target: "key-value", Action: ActionThaw},
			{AtMS: 18000, Target: "contracts-02", Action: ActionThaw},
			{AtMS: 20000, Target: "router-3", Action: ActionKill},
			{AtMS: 20000, Target: "contracts-08", Action: ActionKill},
		},
		Outcomes: append(commonOutcomes(), Outcome{Measure: MeasureCacheReuse, Bound: 0.7, AtLeast: true},
			Outcome{Measure: MeasureCacheReuseOfPossible, Bound: 0.95, AtLeast: true}),
	}
}

func litoralWorkspaces() []WorkspaceProfile {
	rates := []struct {
		name         string
		priority     string
		turns, calls float64
		surge        float64
	}{
		{"contract-review", "high", 4, 0.1, 1}, {"pump-renewals", "normal", 3, 0.2, 1},
		{"supplier-letters", "low", 2, 0.1, 5}, {"santa-fe-crews", "normal", 1, 1.5, 1},
		{"parana-crews", "normal", 1, 1.2, 1}, {"rosario-crews", "normal", 1, 1.5, 1},
		{"spare-parts", "normal", 0.5, 0.8, 1}, {"municipalities", "normal", 0.4, 0.2, 1},
		{"billing", "low", 0.3, 0.1, 1}, {"control-room", "normal", 0.3, 0.4, 1},
	}
	out := make([]WorkspaceProfile, len(rates))
	for i, r := range rates {
		out[i] = WorkspaceProfile{
			Workspace: Workspace{
				Name: r.name, Labels: map[string]string{"company": "litoral"},
				Weight: 1, Priority: r.priority,
			},
			TurnsPerS: r.turns, CallsPerS: r.calls, SurgeFactor: r.surge,
		}
	}
	return out
}
