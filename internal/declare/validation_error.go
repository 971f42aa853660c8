package declare

import (
	"fmt"
	"sort"
	"strings"
)

// Position is a position in a file; the zero value means that it is unknown.
type Position struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

// String returns file:line:column.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// ValidationError is one error in the declarations.
type ValidationError struct {
	Position Position `json:"position"`
	Message  string   `json:"message"`
	// Remedy tells the operator what to change.
	Remedy string `json:"remedy"`
}

// String returns the position, the message and the remedy on one line.
func (e ValidationError) String() string {
	text := e.Message + ": " + e.Remedy
	if e.Position.Line == 0 {
		return text
	}
	return e.Position.String() + ": " + text
}

// ValidationErrors lists all errors found. It must not be returned as an error
// when it is empty; see orNil.
type ValidationErrors []ValidationError

// Error returns one line for each validation error.
func (v ValidationErrors) Error() string {
	lines := make([]string, 0, len(v))
	for _, e := range v {
		lines = append(lines, e.String())
	}
	return strings.Join(lines, "\n")
}

// orNil returns v sorted by position, or nil if v is empty.
func (v ValidationErrors) orNil() error {
	if len(v) == 0 {
		return nil
	}
	sort.SliceStable(v, func(i, j int) bool { return v[i].Position.before(v[j].Position) })
	return v
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
