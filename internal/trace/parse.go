package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// Errors of Read, for use with errors.Is.
var (
	// ErrNoSettings means that the trace has no valid settings record.
	ErrNoSettings = errors.New("trace has no settings: its first record must have the kind settings")
	// ErrInvalid means that the trace has invalid records. The message lists up to
	// maxErrors of them.
	ErrInvalid = errors.New("invalid trace: correct the records listed")
)

// Limits of the parser.
const (
	maxLineBytes = 1 << 20
	maxErrors    = 20
)

// ReadFile reads a trace from a file.
func ReadFile(path string) (*Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "can't open trace: set --trace to a readable file")
	}
	defer func() { _ = file.Close() }()
	t, err := Read(file)
	return t, errors.Wrap(err, path)
}

// Read reads and validates a trace. The error lists the invalid records by line.
func Read(r io.Reader) (*Trace, error) {
	p := &parser{trace: &Trace{}}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for scanner.Scan() {
		p.line++
		p.readLine(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrapf(err, "line %d", p.line+1)
	}
	if p.trace.Settings.Format == 0 {
		return nil, ErrNoSettings
	}
	p.checkReferences()
	if len(p.errs) > 0 {
		return nil, errors.Wrap(ErrInvalid, strings.Join(p.errs, "; "))
	}
	return p.trace, nil
}

type parser struct {
	trace *Trace
	// line is the number of the current line, or zero during checkReferences.
	line int
	errs []string
}

func (p *parser) addError(format string, args ...any) {
	if len(p.errs) == maxErrors {
		return
	}
	message := fmt.Sprintf(format, args...)
	if p.line > 0 {
		message = fmt.Sprintf("line %d: %s", p.line, message)
	}
	p.errs = append(p.errs, message)
}

func (p *parser) readLine(data []byte) {
	if len(bytes.TrimSpace(data)) == 0 {
		return
	}
	var record Record
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&record); err != nil {
		p.addError("%v", err)
		return
	}
	if p.trace.Settings.Format == 0 && record.Kind != KindSettings {
		p.addError("record of kind %q before the settings", record.Kind)
		return
	}
	p.add(&record)
}

func (p *parser) add(r *Record) {
	t := p.trace
	added := false
	switch r.Kind {
	case KindSettings:
		added = r.Settings != nil
		if added {
			p.addSettings(r.Settings)
		}
	case KindWorkspace:
		added = appendIfSet(&t.Workspaces, r.Workspace)
	case KindSelector:
		added = appendIfSet(&t.Selectors, r.Selector)
	case KindTurn:
		added = appendIfSet(&t.Turns, r.Turn)
	case KindCall:
		added = appendIfSet(&t.Calls, r.Call)
	case KindChange:
		added = appendIfSet(&t.Changes, r.Change)
	case KindFault:
		added = appendIfSet(&t.Faults, r.Fault)
	case KindOutcome:
		added = appendIfSet(&t.Outcomes, r.Outcome)
	default:
		p.addError("unknown kind %q", r.Kind)
		return
	}
	if !added {
		p.addError("record of kind %q has no member %q", r.Kind, r.Kind)
	}
}

func appendIfSet[T any](list *[]T, item *T) bool {
	if item == nil {
		return false
	}
	*list = append(*list, *item)
	return true
}

func (p *parser) addSettings(s *Settings) {
	if p.trace.Settings.Format != 0 {
		p.addError("duplicate settings record")
		return
	}
	if s.Format != FormatVersion {
		p.addError("unsupported format %d, must be %d", s.Format, FormatVersion)
	}
	if s.Routers < 1 || s.Directories < 1 {
		p.addError("routers and directories must be at least 1")
	}
	if s.DurationMS < 1 {
		p.addError("duration_ms must be at least 1")
	}
	p.trace.Settings = *s
}
