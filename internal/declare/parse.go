package declare

import (
	"fmt"
	"sort"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/fleet"
)

// Defaults of omitted fields.
const (
	defaultWeight   = 1
	defaultPriority = "normal"
)

// Parse decodes all files into one set of declarations. The error is
// ValidationErrors and lists all errors of syntax and structure; Source.Check
// finds the semantic ones.
func Parse(files []File) (*Source, error) {
	source := &Source{positions: make(positions)}
	var errs ValidationErrors
	for _, file := range files {
		r := &reader{file: file.Name, source: source}
		r.readFile(file.Data)
		errs = append(errs, r.errs...)
	}
	source.Declarations.sort()
	if err := errs.orNil(); err != nil {
		return nil, err
	}
	return source, nil
}

// reader decodes the YAML nodes of one file and collects validation errors.
type reader struct {
	file   string
	source *Source
	errs   ValidationErrors
}

// fieldDecoder decodes the value of one key of a mapping.
type fieldDecoder struct {
	name string
	read func(ast.Node)
}

func (r *reader) readFile(data []byte) {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		r.addSyntaxError(err)
		return
	}
	for _, document := range tree.Docs {
		if document.Body != nil {
			r.readDocument(document.Body)
		}
	}
}

func (r *reader) addSyntaxError(err error) {
	position := Position{File: r.file, Line: 1, Column: 1}
	message := err.Error()
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		message = syntax.GetMessage()
		token := syntax.GetToken()
		position.Line = token.Position.Line
		position.Column = token.Position.Column
	}
	r.errs = append(r.errs, ValidationError{position, "invalid YAML, " + message, "correct the syntax of this line"})
}

func (r *reader) readDocument(node ast.Node) {
	d := &r.source.Declarations
	r.mapping(node, []fieldDecoder{
		{"workspaces", func(n ast.Node) { r.list(n, func(_ int, item ast.Node) { r.readWorkspace(d, item) }) }},
		{"engines", func(n ast.Node) { r.list(n, func(_ int, item ast.Node) { r.readEngine(d, item) }) }},
		{"services", func(n ast.Node) { r.list(n, func(_ int, item ast.Node) { r.readService(d, item) }) }},
		{"selectors", func(n ast.Node) { r.list(n, func(_ int, item ast.Node) { r.readSelector(d, item) }) }},
	})
}

func (r *reader) readWorkspace(d *Declarations, node ast.Node) {
	w := Workspace{Weight: defaultWeight, Priority: defaultPriority}
	p := r.mapping(node, []fieldDecoder{
		{"name", r.text(&w.Name)},
		{"labels", r.labels(&w.Labels)},
		{"weight", r.number(&w.Weight)},
		{"priority", r.text(&w.Priority)},
	})
	p.record(r, objectPath(KindWorkspace, w.Name))
	d.Workspaces = append(d.Workspaces, w)
}

func (r *reader) readEngine(d *Declarations, node ast.Node) {
	e := Engine{Weight: defaultWeight}
	p := r.mapping(node, []fieldDecoder{
		{"name", r.text(&e.Name)},
		{"model", r.text(&e.Model)},
		{"labels", r.labels(&e.Labels)},
		{"weight", r.number(&e.Weight)},
		{"capacity", r.number(&e.Capacity)},
	})
	p.record(r, objectPath(KindEngine, e.Name))
	d.Engines = append(d.Engines, e)
}

func (r *reader) readService(d *Declarations, node ast.Node) {
	var s Service
	var instances []mappingPositions
	p := r.mapping(node, []fieldDecoder{
		{"name", r.text(&s.Name)},
		{"labels", r.labels(&s.Labels)},
		{"idempotentCalls", func(n ast.Node) {
			r.list(n, func(_ int, item ast.Node) { s.IdempotentCalls = append(s.IdempotentCalls, r.readCall(item)) })
		}},
		{"instances", func(n ast.Node) {
			r.list(n, func(_ int, item ast.Node) {
				instance, at := r.readInstance(item)
				s.Instances = append(s.Instances, instance)
				instances = append(instances, at)
			})
		}},
	})
	path := objectPath(KindService, s.Name)
	p.record(r, path)
	for i, at := range instances {
		at.record(r, fmt.Sprintf("%s/instances/%d", path, i))
	}
	d.Services = append(d.Services, s)
}

func (r *reader) readCall(node ast.Node) CallPattern {
	var c CallPattern
	r.mapping(node, []fieldDecoder{
		{"method", r.text(&c.Method)},
		{"pathPrefix", r.text(&c.PathPrefix)},
	})
	return c
}

func (r *reader) readInstance(node ast.Node) (Instance, mappingPositions) {
	i := Instance{Weight: defaultWeight}
	p := r.mapping(node, []fieldDecoder{
		{"name", r.text(&i.Name)},
		{"labels", r.labels(&i.Labels)},
		{"weight", r.number(&i.Weight)},
		{"capacity", r.number(&i.Capacity)},
	})
	return i, p
}

func (r *reader) readSelector(d *Declarations, node ast.Node) {
	var s Selector
	p := r.mapping(node, []fieldDecoder{
		{"name", r.text(&s.Name)},
		{"workspaces", r.labelSelector(&s.Workspaces)},
		{"models", r.texts(&s.Models)},
		{"services", r.texts(&s.Services)},
		{"upstreams", r.labelSelector(&s.Upstreams)},
	})
	p.requireField(r, "workspaces", "write workspaces: {} to match all workspaces")
	p.requireField(r, "upstreams", "write upstreams: {} to match all upstreams")
	p.record(r, objectPath(KindSelector, s.Name))
	d.Selectors = append(d.Selectors, s)
}

func (r *reader) labelSelector(out *LabelSelector) func(ast.Node) {
	return func(node ast.Node) {
		r.mapping(node, []fieldDecoder{
			{"matchLabels", r.labels(&out.MatchLabels)},
			{"matchExpressions", func(n ast.Node) {
				r.list(n, func(_ int, item ast.Node) {
					out.MatchExpressions = append(out.MatchExpressions, r.readExpression(item))
				})
			}},
		})
	}
}

func (r *reader) readExpression(node ast.Node) Expression {
	var e Expression
	var operator string
	p := r.mapping(node, []fieldDecoder{
		{"key", r.text(&e.Key)},
		{"operator", r.text(&operator)},
		{"values", r.texts(&e.Values)},
	})
	e.Operator = Operator(operator)
	if message, remedy := expressionError(e); message != "" {
		r.errs = append(r.errs, ValidationError{p.at, message, remedy})
	}
	return e
}

func expressionError(e Expression) (message, remedy string) {
	switch e.Operator {
	case OperatorIn, OperatorNotIn:
		if len(e.Values) == 0 {
			return string(e.Operator) + " without values", "list at least one value"
		}
	case OperatorExists, OperatorDoesNotExist:
		if len(e.Values) > 0 {
			return string(e.Operator) + " with values", "remove them, or use In or NotIn"
		}
	default:
		return fmt.Sprintf("unknown operator %q", string(e.Operator)), "use In, NotIn, Exists or DoesNotExist"
	}
	if e.Key == "" {
		return "expression without a key", "add the key of a label"
	}
	return "", ""
}

// mappingPositions holds the positions of a mapping and of its values.
type mappingPositions struct {
	at     Position
	fields []fieldPosition
}

type fieldPosition struct {
	name string
	at   Position
}

// record stores the positions under the path of an object. An object that is
// already recorded is a validation error.
func (p mappingPositions) record(r *reader, path string) {
	recorded := r.source.positions
	if first, ok := recorded[path]; ok {
		r.errs = append(r.errs, ValidationError{p.at, path + " is declared twice", "remove one; the other is at " + first.String()})
		return
	}
	recorded[path] = p.at
	for _, f := range p.fields {
		recorded[path+"/"+f.name] = f.at
	}
}

func (p mappingPositions) requireField(r *reader, name, remedy string) {
	for _, f := range p.fields {
		if f.name == name {
			return
		}
	}
	r.errs = append(r.errs, ValidationError{p.at, "field " + name + " is missing", remedy})
}

// mapping decodes the given fields of a mapping; any other field is a validation
// error.
func (r *reader) mapping(node ast.Node, fields []fieldDecoder) mappingPositions {
	result := mappingPositions{at: r.position(node)}
	values, ok := mappingValues(node)
	if !ok {
		r.addError(node, "a mapping is expected here", "write key: value lines")
		return result
	}
	for i, value := range values {
		at := r.position(value.Key)
		if i == 0 {
			result.at = at
		}
		name := value.Key.GetToken().Value
		result.fields = append(result.fields, fieldPosition{name, r.position(value.Value)})
		r.decodeField(value, name, fields)
	}
	return result
}

func (r *reader) decodeField(value *ast.MappingValueNode, name string, fields []fieldDecoder) {
	for _, f := range fields {
		if f.name == name {
			f.read(value.Value)
			return
		}
	}
	r.addError(value.Key, fmt.Sprintf("unknown field %q", name), "use one of "+fieldNames(fields))
}

func fieldNames(fields []fieldDecoder) string {
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		names = append(names, f.name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

func mappingValues(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	default:
		return nil, false
	}
}

func (r *reader) list(node ast.Node, read func(index int, item ast.Node)) {
	if node.Type() == ast.NullType {
		return
	}
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		r.addError(node, "a list is expected here", "start each item with a dash")
		return
	}
	for i, item := range sequence.Values {
		read(i, item)
	}
}

func (r *reader) text(out *string) func(ast.Node) {
	return func(node ast.Node) {
		value, ok := scalarText(node)
		if !ok {
			r.addError(node, "a string is expected here", "write one value, in quotes if it isn't plain")
			return
		}
		*out = value
	}
}

// scalarText returns the source text of a string, number or boolean node.
func scalarText(node ast.Node) (string, bool) {
	switch node.(type) {
	case *ast.StringNode, *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return node.GetToken().Value, true
	default:
		return "", false
	}
}

func (r *reader) texts(out *[]string) func(ast.Node) {
	return func(node ast.Node) {
		r.list(node, func(_ int, item ast.Node) {
			var value string
			r.text(&value)(item)
			*out = append(*out, value)
		})
	}
}

func (r *reader) number(out *int) func(ast.Node) {
	return func(node ast.Node) {
		integer, ok := node.(*ast.IntegerNode)
		if !ok {
			r.addError(node, "a whole number is expected here", "write digits only")
			return
		}
		value, ok := integer.Value.(uint64)
		if !ok || value > maxNumber {
			r.addError(node, "number out of range", fmt.Sprintf("use 0 to %d", maxNumber))
			return
		}
		*out = int(value)
	}
}

func (r *reader) labels(out *fleet.Labels) func(ast.Node) {
	return func(node ast.Node) {
		values, ok := mappingValues(node)
		if !ok {
			r.addError(node, "labels are expected here", "write key: value lines")
			return
		}
		labels := make(fleet.Labels, len(values))
		for _, value := range values {
			r.label(labels, value)
		}
		if len(labels) > 0 {
			*out = labels
		}
	}
}

func (r *reader) label(labels fleet.Labels, value *ast.MappingValueNode) {
	key := value.Key.GetToken().Value
	text, ok := scalarText(value.Value)
	if !ok {
		r.addError(value.Value, fmt.Sprintf("label %q has no plain value", key), "write one value, in quotes if it isn't plain")
		return
	}
	labels[key] = text
}

func (r *reader) addError(node ast.Node, message, remedy string) {
	r.errs = append(r.errs, ValidationError{r.position(node), message, remedy})
}

func (r *reader) position(node ast.Node) Position {
	p := node.GetToken().Position
	return Position{File: r.file, Line: p.Line, Column: p.Column}
}

func objectPath(kind Kind, name string) string { return string(kind) + "/" + name }
