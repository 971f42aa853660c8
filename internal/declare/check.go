package declare

import (
	"fmt"
	"regexp"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/verbenatrail/verbenatrail/internal/fleet"
)

// Limits of declarations.
const (
	// MaxWeight is the maximum weight of a workspace or an upstream.
	MaxWeight = 1000
	// MaxCapacity is the maximum declared capacity, in requests in flight.
	MaxCapacity = 100_000
	// MaxLabels is the maximum number of labels of one object.
	MaxLabels = 64
	// MaxLabelLength is the maximum length of a label key or value, in characters.
	MaxLabelLength = 63
	// MaxObjects is the maximum number of objects of one kind.
	MaxObjects = 100_000

	// maxNumber is the largest number that Parse accepts in any field.
	maxNumber = 1_000_000
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)

const nameRemedy = "use 1 to 63 letters, digits, dots, dashes or underscores, with a letter or digit at both ends"

// Check returns all semantic errors as ValidationErrors, or nil.
func (s *Source) Check() error { return check(&s.Declarations, s.positions) }

// Check returns all semantic errors as ValidationErrors without positions, or nil.
func (d *Declarations) Check() error { return check(d, nil) }

func check(d *Declarations, pos positions) error {
	c := &checker{declarations: d, positions: pos}
	c.checkCounts()
	c.checkWorkspaces()
	c.checkEngines()
	c.checkServices()
	c.checkUpstreamNames()
	c.checkSelectors()
	c.checkDrains()
	if len(c.errs) == 0 {
		c.checkWorkspacesSelected()
	}
	return c.errs.orNil()
}

type checker struct {
	declarations *Declarations
	positions    positions
	errs         ValidationErrors
}

// add records a validation error at the position of a field, or of its object if
// the field's position is unknown.
func (c *checker) add(path, field, message, remedy string) {
	at, ok := c.positions[path+"/"+field]
	if !ok {
		at = c.positions[path]
	}
	c.errs = append(c.errs, ValidationError{at, path + ": " + message, remedy})
}

func (c *checker) checkCounts() {
	d := c.declarations
	counts := []struct {
		kind  Kind
		count int
	}{
		{KindWorkspace, len(d.Workspaces)}, {KindEngine, len(d.Engines)},
		{KindService, len(d.Services)}, {KindSelector, len(d.Selectors)},
	}
	for _, n := range counts {
		if n.count > MaxObjects {
			c.add(string(n.kind), "", fmt.Sprintf("%d objects", n.count), fmt.Sprintf("declare at most %d", MaxObjects))
		}
	}
}

func (c *checker) checkWorkspaces() {
	for _, w := range c.declarations.Workspaces {
		path := objectPath(KindWorkspace, w.Name)
		c.checkName(path, "name", w.Name)
		c.checkLabels(path, w.Labels)
		c.checkRange(path, "weight", w.Weight, 1, MaxWeight)
		if _, ok := fleet.ParsePriority(w.Priority); !ok {
			c.add(path, "priority", fmt.Sprintf("unknown priority %q", w.Priority), "use low, normal or high")
		}
	}
}

func (c *checker) checkEngines() {
	for _, e := range c.declarations.Engines {
		path := objectPath(KindEngine, e.Name)
		c.checkName(path, "name", e.Name)
		c.checkName(path, "model", e.Model)
		c.checkLabels(path, e.Labels)
		c.checkRange(path, "weight", e.Weight, 1, MaxWeight)
		c.checkRange(path, "capacity", e.Capacity, 0, MaxCapacity)
	}
}

func (c *checker) checkServices() {
	models := c.declarations.models()
	for _, s := range c.declarations.Services {
		path := objectPath(KindService, s.Name)
		c.checkName(path, "name", s.Name)
		c.checkLabels(path, s.Labels)
		c.checkCalls(path, s.IdempotentCalls)
		if models[s.Name] {
			c.add(path, "name", "a model has the same name", "rename the service")
		}
		for i, instance := range s.Instances {
			c.checkInstance(fmt.Sprintf("%s/instances/%d", path, i), instance)
		}
	}
}

func (c *checker) checkInstance(path string, instance Instance) {
	c.checkName(path, "name", instance.Name)
	c.checkLabels(path, instance.Labels)
	c.checkRange(path, "weight", instance.Weight, 1, MaxWeight)
	c.checkRange(path, "capacity", instance.Capacity, 0, MaxCapacity)
}

func (c *checker) checkCalls(path string, calls []CallPattern) {
	for _, call := range calls {
		if call.Method == "" || call.Method != strings.ToUpper(call.Method) {
			c.add(path, "idempotentCalls", fmt.Sprintf("method %q is not an HTTP method", call.Method), "write it in upper case, like POST")
		}
		if !strings.HasPrefix(call.PathPrefix, "/") {
			c.add(path, "idempotentCalls", fmt.Sprintf("pathPrefix %q is not an absolute path", call.PathPrefix), "start it with a slash")
		}
	}
}

// checkUpstreamNames rejects upstreams that share a name.
func (c *checker) checkUpstreamNames() {
	pathByName := make(map[string]string)
	register := func(name, path string) {
		if first, ok := pathByName[name]; ok {
			c.add(path, "name", fmt.Sprintf("upstream name %q is taken by %s", name, first), "give each engine and instance its own name")
			return
		}
		pathByName[name] = path
	}
	for _, e := range c.declarations.Engines {
		register(e.Name, objectPath(KindEngine, e.Name))
	}
	for _, s := range c.declarations.Services {
		for i, instance := range s.Instances {
			register(instance.Name, fmt.Sprintf("%s/instances/%d", objectPath(KindService, s.Name), i))
		}
	}
}

func (c *checker) checkSelectors() {
	upstreams := upstreamsByTarget(c.declarations.upstreams())
	groups := groupWorkspaces(c.declarations.Workspaces)
	models := c.declarations.models()
	for _, s := range c.declarations.Selectors {
		path := objectPath(KindSelector, s.Name)
		c.checkName(path, "name", s.Name)
		if len(s.Models)+len(s.Services) == 0 {
			c.add(path, "", "neither models nor services", "list at least one model or service")
		}
		c.checkLabelSelector(path, "workspaces", s.Workspaces)
		c.checkLabelSelector(path, "upstreams", s.Upstreams)
		if !matchesAnyGroup(s.Workspaces, groups) {
			c.add(path, "workspaces", "no workspace matches", "correct the labels here or on a workspace, or remove the selector")
		}
		c.checkTargets(path, s, models, upstreams)
	}
}

func (c *checker) checkDrains() {
	names := c.declarations.upstreamNames()
	for _, drain := range c.declarations.Drains {
		if !names[drain.Name] {
			c.add(objectPath(KindDrain, drain.Name), "", "no such upstream is declared", "name a declared engine or instance, or undrain it")
		}
	}
}

func (c *checker) checkTargets(path string, s Selector, models map[string]bool, upstreams map[string][]*fleet.Upstream) {
	for _, model := range s.Models {
		if !models[model] {
			c.add(path, "models", fmt.Sprintf("no engine has the model %q", model), "correct the model, or declare an engine for it")
			continue
		}
		c.checkAdmits(path, model, s.Upstreams, upstreams[model])
	}
	for _, service := range s.Services {
		if _, ok := c.declarations.Service(service); !ok {
			c.add(path, "services", fmt.Sprintf("no service %q", service), "correct the name, or declare the service")
			continue
		}
		c.checkAdmits(path, service, s.Upstreams, upstreams[service])
	}
}

func (c *checker) checkAdmits(path, target string, selector LabelSelector, upstreams []*fleet.Upstream) {
	for _, u := range upstreams {
		if selector.Matches(u.Labels) {
			return
		}
	}
	c.add(path, "upstreams", fmt.Sprintf("no upstream of %q matches", target), "correct the labels here or on an upstream")
}

// checkWorkspacesSelected rejects workspaces that no selector matches, as they
// would have no upstream.
func (c *checker) checkWorkspacesSelected() {
	for _, group := range groupWorkspaces(c.declarations.Workspaces) {
		if c.selected(group.labels) {
			continue
		}
		for _, name := range group.names {
			c.add(objectPath(KindWorkspace, name), "labels", "no selector matches, so it has no upstream",
				"add labels that a selector matches, or a selector for it")
		}
	}
}

func (c *checker) selected(labels fleet.Labels) bool {
	for _, s := range c.declarations.Selectors {
		if s.Workspaces.Matches(labels) {
			return true
		}
	}
	return false
}

func matchesAnyGroup(selector LabelSelector, groups []workspaceGroup) bool {
	for _, group := range groups {
		if selector.Matches(group.labels) {
			return true
		}
	}
	return false
}

func (c *checker) checkName(path, field, name string) {
	if name == "" {
		c.add(path, field, field+" is missing", nameRemedy)
		return
	}
	if !namePattern.MatchString(name) {
		c.add(path, field, fmt.Sprintf("%s %q is not allowed", field, name), nameRemedy)
	}
}

func (c *checker) checkRange(path, field string, value, lowest, highest int) {
	if value < lowest || value > highest {
		c.add(path, field, fmt.Sprintf("%s is %d", field, value), fmt.Sprintf("use %d to %d", lowest, highest))
	}
}

func (c *checker) checkLabels(path string, labels fleet.Labels) {
	if len(labels) > MaxLabels {
		c.add(path, "labels", fmt.Sprintf("%d labels", len(labels)), fmt.Sprintf("use at most %d", MaxLabels))
	}
	for key, value := range labels {
		c.checkLabel(path, "labels", key, value)
	}
}

func (c *checker) checkLabel(path, field, key, value string) {
	if !validLabelKey(key) {
		c.add(path, field, fmt.Sprintf("label key %q is not allowed", key), "use 1 to 63 characters without spaces")
	}
	if !validLabelText(value) {
		c.add(path, field, fmt.Sprintf("value %q of label %q is not allowed", value, key), "use at most 63 printable characters without spaces at the ends")
	}
}

func (c *checker) checkLabelSelector(path, field string, s LabelSelector) {
	for key, value := range s.MatchLabels {
		c.checkLabel(path, field, key, value)
	}
	// Parse has already validated the expressions of a Source, which has positions.
	for _, expression := range s.MatchExpressions {
		if message, remedy := expressionError(expression); message != "" && c.positions == nil {
			c.add(path, field, message, remedy)
		}
	}
}

func validLabelKey(key string) bool {
	return key != "" && validLabelText(key) && !strings.ContainsFunc(key, unicode.IsSpace)
}

func validLabelText(text string) bool {
	if !utf8.ValidString(text) || utf8.RuneCountInString(text) > MaxLabelLength {
		return false
	}
	if strings.TrimSpace(text) != text {
		return false
	}
	return !strings.ContainsFunc(text, func(c rune) bool { return !unicode.IsPrint(c) })
}
