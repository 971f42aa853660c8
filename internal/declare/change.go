package declare

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Change sets one object, or deletes it when no object is given.
type Change struct {
	Kind      Kind       `json:"kind"`
	Name      string     `json:"name"`
	Workspace *Workspace `json:"workspace,omitempty"`
	Engine    *Engine    `json:"engine,omitempty"`
	Service   *Service   `json:"service,omitempty"`
	Selector  *Selector  `json:"selector,omitempty"`
	Drain     *Drain     `json:"drain,omitempty"`
}

// Deletes reports whether the change deletes its object.
func (c Change) Deletes() bool {
	return c.Workspace == nil && c.Engine == nil && c.Service == nil && c.Selector == nil && c.Drain == nil
}

// ObjectPath returns the path of the object, like "engine/balaju-1".
func (c Change) ObjectPath() string { return objectPath(c.Kind, c.Name) }

// Encode returns the canonical JSON encoding, with objects sorted by name.
func (d *Declarations) Encode() ([]byte, error) {
	data, err := json.Marshal(d)
	return data, errors.Wrap(err, "encode declarations")
}

// Decode decodes the output of Encode.
func Decode(data []byte) (*Declarations, error) {
	var d Declarations
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, errors.Wrap(err, "decode declarations")
	}
	d.sort()
	return &d, nil
}

// named is an object that has a name.
type named interface{ name() string }

func (w Workspace) name() string { return w.Name }
func (e Engine) name() string    { return e.Name }
func (s Service) name() string   { return s.Name }
func (s Selector) name() string  { return s.Name }
func (d Drain) name() string     { return d.Name }

func (d *Declarations) sort() {
	sortByName(d.Workspaces)
	sortByName(d.Engines)
	sortByName(d.Services)
	sortByName(d.Selectors)
	sortByName(d.Drains)
}

func sortByName[T named](objects []T) {
	slices.SortStableFunc(objects, func(a, b T) int { return strings.Compare(a.name(), b.name()) })
}

// Service returns a declared service by name.
func (d *Declarations) Service(name string) (Service, bool) { return find(d.Services, name) }

// Engine returns a declared engine by name.
func (d *Declarations) Engine(name string) (Engine, bool) { return find(d.Engines, name) }

func find[T named](objects []T, name string) (T, bool) {
	index, ok := search(objects, name)
	if !ok {
		var zero T
		return zero, false
	}
	return objects[index], true
}

func search[T named](objects []T, name string) (int, bool) {
	return slices.BinarySearchFunc(objects, name, func(o T, n string) int { return strings.Compare(o.name(), n) })
}

// Changes returns the changes that set every object of d, ordered by kind and
// name.
func (d *Declarations) Changes() []Change { return Diff(&Declarations{}, d) }

// Diff returns the changes that turn before into after, ordered by kind and name.
func Diff(before, after *Declarations) []Change {
	var out []Change
	out = append(out, diffObjects(before.Workspaces, after.Workspaces, setWorkspace)...)
	out = append(out, diffObjects(before.Engines, after.Engines, setEngine)...)
	out = append(out, diffObjects(before.Services, after.Services, setService)...)
	out = append(out, diffObjects(before.Selectors, after.Selectors, setSelector)...)
	return append(out, diffObjects(before.Drains, after.Drains, setDrain)...)
}

func setWorkspace(w Workspace) Change {
	return Change{Kind: KindWorkspace, Name: w.Name, Workspace: &w}
}
func setEngine(e Engine) Change     { return Change{Kind: KindEngine, Name: e.Name, Engine: &e} }
func setService(s Service) Change   { return Change{Kind: KindService, Name: s.Name, Service: &s} }
func setSelector(s Selector) Change { return Change{Kind: KindSelector, Name: s.Name, Selector: &s} }
func setDrain(d Drain) Change       { return Change{Kind: KindDrain, Name: d.Name, Drain: &d} }

// diffObjects returns the changes between two slices sorted by name.
func diffObjects[T named](before, after []T, set func(T) Change) []Change {
	var out []Change
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		switch order := compareHeads(before[i:], after[j:]); {
		case order < 0:
			deleted := set(before[i])
			out = append(out, Change{Kind: deleted.Kind, Name: deleted.Name})
			i++
		case order > 0:
			out = append(out, set(after[j]))
			j++
		default:
			if !reflect.DeepEqual(before[i], after[j]) {
				out = append(out, set(after[j]))
			}
			i++
			j++
		}
	}
	return out
}

// compareHeads compares the names of the first objects; an empty slice sorts
// last.
func compareHeads[T named](a, b []T) int {
	switch {
	case len(b) == 0:
		return -1
	case len(a) == 0:
		return 1
	default:
		return strings.Compare(a[0].name(), b[0].name())
	}
}

// Apply returns a copy of d with the changes applied in order. Deleting an
// absent object has no effect.
func (d *Declarations) Apply(changes []Change) *Declarations {
	out := &Declarations{
		Workspaces: slices.Clone(d.Workspaces), Engines: slices.Clone(d.Engines),
		Services: slices.Clone(d.Services), Selectors: slices.Clone(d.Selectors),
		Drains: slices.Clone(d.Drains),
	}
	for _, c := range changes {
		out.apply(c)
	}
	return out
}

func (d *Declarations) apply(c Change) {
	switch c.Kind {
	case KindWorkspace:
		d.Workspaces = put(d.Workspaces, c.Name, c.Workspace)
	case KindEngine:
		d.Engines = put(d.Engines, c.Name, c.Engine)
	case KindService:
		d.Services = put(d.Services, c.Name, c.Service)
	case KindSelector:
		d.Selectors = put(d.Selectors, c.Name, c.Selector)
	case KindDrain:
		d.Drains = put(d.Drains, c.Name, c.Drain)
	}
}

// put inserts or replaces an object of a slice sorted by name; a nil object
// removes it.
func put[T named](objects []T, name string, object *T) []T {
	index, found := search(objects, name)
	switch {
	case object == nil && found:
		return slices.Delete(objects, index, index+1)
	case object == nil:
		return objects
	case found:
		objects[index] = *object
		return objects
	default:
		return slices.Insert(objects, index, *object)
	}
}

// WithDrainsOf returns a copy of d with the drains of current for those
// upstreams that d declares.
func (d *Declarations) WithDrainsOf(current *Declarations) *Declarations {
	out := *d
	out.Drains = nil
	names := d.upstreamNames()
	for _, drain := range current.Drains {
		if names[drain.Name] {
			out.Drains = append(out.Drains, drain)
		}
	}
	return &out
}

func (d *Declarations) upstreamNames() map[string]bool {
	names := make(map[string]bool)
	for _, u := range d.upstreams() {
		names[u.Name] = true
	}
	return names
}

// DrainSet is the immutable set of the names of drained upstreams.
type DrainSet struct{ names map[string]bool }

// DrainSet returns the drained upstreams of d.
func (d *Declarations) DrainSet() DrainSet {
	names := make(map[string]bool, len(d.Drains))
	for _, drain := range d.Drains {
		names[drain.Name] = true
	}
	return DrainSet{names}
}

// Has reports whether an upstream is drained.
func (s DrainSet) Has(upstream string) bool { return s.names[upstream] }

// Len returns the number of drained upstreams.
func (s DrainSet) Len() int { return len(s.names) }

// FromChanges returns declarations of the objects that the changes set. Each
// object may occur only once.
func FromChanges(changes []Change) *Declarations {
	out := &Declarations{}
	for _, c := range changes {
		switch {
		case c.Workspace != nil:
			out.Workspaces = append(out.Workspaces, *c.Workspace)
		case c.Engine != nil:
			out.Engines = append(out.Engines, *c.Engine)
		case c.Service != nil:
			out.Services = append(out.Services, *c.Service)
		case c.Selector != nil:
			out.Selectors = append(out.Selectors, *c.Selector)
		case c.Drain != nil:
			out.Drains = append(out.Drains, *c.Drain)
		}
	}
	out.sort()
	return out
}

// Value returns the object that the change sets, or nil for a deletion.
func (c Change) Value() any {
	switch {
	case c.Workspace != nil:
		return c.Workspace
	case c.Engine != nil:
		return c.Engine
	case c.Service != nil:
		return c.Service
	case c.Selector != nil:
		return c.Selector
	case c.Drain != nil:
		return c.Drain
	default:
		return nil
	}
}

// Has reports whether an object is declared.
func (d *Declarations) Has(kind Kind, name string) bool {
	found := false
	switch kind {
	case KindWorkspace:
		_, found = search(d.Workspaces, name)
	case KindEngine:
		_, found = search(d.Engines, name)
	case KindService:
		_, found = search(d.Services, name)
	case KindSelector:
		_, found = search(d.Selectors, name)
	case KindDrain:
		_, found = search(d.Drains, name)
	}
	return found
}
