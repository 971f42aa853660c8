package capacity

import (
	"fmt"

	"github.com/verbenatrail/verbenatrail/internal/declare"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
)

// Names and numbers that the declarations and the generated load share.
const (
	serviceName = "booking"
	// regionCount and domainCount are those of the target fleet.
	regionCount = 2
	domainCount = 5
	// teamCount is the number of values of the label "team".
	teamCount = 300
	// engineCapacity is the declared limit of requests in flight at one engine or
	// service instance.
	engineCapacity = 256
)

// Size is the size of a fleet.
type Size struct {
	Routers    int `json:"routers"`
	Engines    int `json:"engines"`
	Workspaces int `json:"workspaces"`
	Models     int `json:"models"`
	// EngineServers is the number of stand-ins that serve the listed engines.
	EngineServers int `json:"engine_servers"`
}

func routerName(i int) string    { return fmt.Sprintf("router-%03d", i) }
func engineName(i int) string    { return fmt.Sprintf("engine-%03d", i) }
func workspaceName(i int) string { return fmt.Sprintf("workspace-%05d", i) }
func modelName(i int) string     { return fmt.Sprintf("model-%d", i) }
func instanceName(i int) string  { return fmt.Sprintf("booking-%d", i) }
func region(i int) string        { return fmt.Sprintf("region-%d", i%regionCount) }
func domain(i int) string        { return fmt.Sprintf("domain-%d", i%domainCount) }

// Changes returns the declarations of a fleet of this size.
func (s Size) Changes() []declare.Change {
	changes := []declare.Change{serviceChange()}
	for i := range s.Workspaces {
		changes = append(changes, workspaceChange(i, i))
	}
	for i := range s.Engines {
		changes = append(changes, s.engineChange(i))
	}
	for i := range s.Models {
		changes = append(changes, modelSelector(i))
	}
	return append(changes, serviceSelector())
}

// workspaceChange declares a workspace whose labels depend on round, so that
// declaring it again with the next round changes them.
func workspaceChange(i, round int) declare.Change {
	w := &declare.Workspace{
		Name: workspaceName(i), Weight: 1, Priority: fleet.PriorityNormal.String(),
		Labels: fleet.Labels{"team": fmt.Sprintf("team-%d", round%teamCount), "region": region(i), "tier": "standard"},
	}
	return declare.Change{Kind: declare.KindWorkspace, Name: w.Name, Workspace: w}
}

func (s Size) engineChange(i int) declare.Change {
	e := &declare.Engine{
		Name: engineName(i), Model: modelName(i % s.Models), Weight: 1, Capacity: engineCapacity,
		Labels: fleet.Labels{"region": region(i), "domain": domain(i)},
	}
	return declare.Change{Kind: declare.KindEngine, Name: e.Name, Engine: e}
}

func serviceChange() declare.Change {
	service := &declare.Service{Name: serviceName}
	for i := range instanceCount {
		service.Instances = append(service.Instances, declare.Instance{Name: instanceName(i), Weight: 1, Capacity: engineCapacity})
	}
	return declare.Change{Kind: declare.KindService, Name: serviceName, Service: service}
}

func modelSelector(i int) declare.Change {
	selector := &declare.Selector{Name: fmt.Sprintf("selector-%d", i), Models: []string{modelName(i)}}
	return declare.Change{Kind: declare.KindSelector, Name: selector.Name, Selector: selector}
}

func serviceSelector() declare.Change {
	selector := &declare.Selector{Name: "selector-booking", Services: []string{serviceName}}
	return declare.Change{Kind: declare.KindSelector, Name: selector.Name, Selector: selector}
}
