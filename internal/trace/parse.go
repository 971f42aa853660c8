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

// Errors of Read. Callers test for them with errors.Is.
var (
	// ErrNoSettings means that the first line is no settings record.
	ErrNoSettings = errors.New("trace has no settings: its first line must have the kind settings")
	// ErrInvalid means that lines are wrong; the text lists each of them.
	ErrInvalid = errors.New("trace is invalid: correct the lines named here")
)

// Sizes of a trace file.
const (
	maxLineBytes = 1 << 20
	maxMistakes  = 20
)

// ReadFile reads a trace from a file.
func ReadFile(path string) (*Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "trace can't be read: name the file with --trace")
	}
	defer func() { _ = file.Close() }()
	t, err := Read(file)
	return t, errors.Wrap(err, path)
}

// Read reads and checks a whole trace. The error lists the mistakes by line.
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
	if len(p.mistakes) > 0 {
		return nil, errors.Wrap(ErrInvalid, strings.Join(p.mistakes, "; "))
	}
	return p.trace, nil
}

type parser struct {
	trace *Trace
	// line is the line being read, and zero when the whole trace is checked.
	line     int
	mistakes []string
}

func (p *parser) fail(format string, args ...any) {
	if len(p.mistakes) == maxMistakes {
		return
	}
	mistake := fmt.Sprintf(format, args...)
	if p.line > 0 {
		mistake = fmt.Sprintf("line %d: %s", p.line, mistake)
	}
	p.mistakes = append(p.mistakes, mistake)
}

func (p *parser) readLine(data []byte) {
	if len(bytes.TrimSpace(data)) == 0 {
		return
	}
	var record Record
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&record); err != nil {
		p.fail("%v", err)
		return
	}
	if p.trace.Settings.Format == 0 && record.Kind != KindSettings {
		p.fail("record of kind %q before the settings", record.Kind)
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
		added = appendSet(&t.Workspaces, r.Workspace)
	case KindSelector:
		added = appendSet(&t.Selectors, r.Selector)
	case KindTurn:
		added = appendSet(&t.Turns, r.Turn)
	case KindCall:
		added = appendSet(&t.Calls, r.Call)
	case KindChange:
		added = appendSet(&t.Changes, r.Change)
	case KindFault:
		added = appendSet(&t.Faults, r.Fault)
	case KindOutcome:
		added = appendSet(&t.Outcomes, r.Outcome)
	default:
		p.fail("kind %q is not known", r.Kind)
		return
	}
	if !added {
		p.fail("record of kind %q has no member %q", r.Kind, r.Kind)
	}
}

func appendSet[T any](list *[]T, item *T) bool {
	if item == nil {
		return false
	}
	*list = append(*list, *item)
	return true
}

func (p *parser) addSettings(s *Settings) {
	if p.trace.Settings.Format != 0 {
		p.fail("settings stand twice")
		return
	}
	if s.Format != FormatVersion {
		p.fail("format %d can't be read, only %d", s.Format, FormatVersion)
	}
	if s.Routers < 1 || s.Directories < 1 {
		p.fail("settings need at least one router and one directory")
	}
	if s.DurationMS < 1 {
		p.fail("duration_ms must be at least 1")
	}
	p.trace.Settings = *s
}
