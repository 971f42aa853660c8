package declare

import (
	"fmt"
	"sort"
	"strings"
)

// Position is a place in a file; the zero value means that there is none.
type Position struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

// String returns file:line:column.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// ValidationError is one fault of the declarations.
type ValidationError struct {
	Position Position `json:"position"`
	Message  string   `json:"message"`
	// Remedy says what to change.
	Remedy string `json:"remedy"`
}

// String returns the position, the message and the remedy on one line.
func (m ValidationError) String() string {
	text := m.Message + ": " + m.Remedy
	if m.Position.Line == 0 {
		return text
	}
	return m.Position.String() + ": " + text
}

// ValidationErrors are all faults found; it is an error when not empty.
type ValidationErrors []ValidationError

// Error returns one mistake a line.
func (m ValidationErrors) Error() string {
	lines := make([]string, 0, len(m))
	for _, mistake := range m {
		lines = append(lines, mistake.String())
	}
	return strings.Join(lines, "\n")
}

// orNil returns m sorted by position, or nil when there is no mistake.
func (m ValidationErrors) orNil() error {
	if len(m) == 0 {
		return nil
	}
	sort.SliceStable(m, func(i, j int) bool { return m[i].Position.before(m[j].Position) })
	return m
}

func (p Position) before(other Position) bool {
	if p.File != other.File {
		return p.File < other.File
	}
	if p.Line != other.Line {
		return p.Line < other.Line
	}
	return p.Column < other.Column
}
