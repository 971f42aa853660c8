package layout

import (
	"github.com/verbenatrail/verbenatrail/internal/declare"
	"github.com/verbenatrail/verbenatrail/internal/trace"
)

// defaultWeight is the relative capacity of an upstream. All upstreams of a trace
// have the same.
const defaultWeight = 1

// Declarations returns the fleet declarations of a trace's deployment.
func Declarations(t *trace.Trace) *declare.Declarations {
	d := &declare.Declarations{}
	for _, w := range t.Workspaces {
		d.Workspaces = append(d.Workspaces, declare.Workspace{
			Name: w.Name, Labels: w.Labels, Weight: w.Weight, Priority: w.Priority,
		})
	}
	for _, e := range t.Settings.Engines {
		d.Engines = append(d.Engines, declare.Engine{
			Name: e.Name, Model: e.Model, Labels: e.Labels, Weight: defaultWeight, Capacity: e.Slots,
		})
	}
	for _, s := range t.Settings.Services {
		d.Services = append(d.Services, serviceDeclaration(s))
	}
	for _, s := range t.Selectors {
		d.Selectors = append(d.Selectors, declare.Selector{
			Name: s.Name, Models: s.Models, Services: s.Services,
			Workspaces: declare.LabelSelector{MatchLabels: s.Workspaces},
			Upstreams:  declare.LabelSelector{MatchLabels: s.Upstreams},
		})
	}
	return d
}

func serviceDeclaration(s trace.Service) declare.Service {
	out := declare.Service{Name: s.Name}
	for _, call := range s.IdempotentCalls {
		out.IdempotentCalls = append(out.IdempotentCalls, declare.CallPattern(call))
	}
	for _, instance := range s.Instances {
		out.Instances = append(out.Instances, declare.Instance{
			Name: instance.Name, Labels: instance.Labels, Weight: defaultWeight,
		})
	}
	return out
}
