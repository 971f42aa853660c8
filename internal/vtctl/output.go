package vtctl

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/declare"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
)

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
	outputYAML = "yaml"
)

// print writes the value as JSON, or calls text when the output format is text.
func (c *cli) print(value any, text func(io.Writer)) error {
	if c.output == outputText {
		text(c.out)
		return nil
	}
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write output")
}

func (c *cli) printYAML(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "write output")
	}
	text, err := yaml.JSONToYAML(data)
	if err != nil {
		return errors.Wrap(err, "write output")
	}
	_, err = c.out.Write(text)
	return errors.Wrap(err, "write output")
}

// printTable writes rows in aligned columns; the first row is the header.
func printTable(out io.Writer, rows [][]string) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

func labelsText(labels fleet.Labels) string {
	if len(labels) == 0 {
		return "-"
	}
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		parts = append(parts, key+"="+labels[key])
	}
	return strings.Join(parts, ",")
}

// changeText returns one line for a change: - for a deleted object, ~ for an
// object that exists in before and + for any other.
func changeText(change declare.Change, before *declare.Declarations) string {
	if change.Deletes() {
		return "- " + change.ObjectPath()
	}
	sign := "+"
	if before != nil && before.Has(change.Kind, change.Name) {
		sign = "~"
	}
	data, err := json.Marshal(change.Value())
	if err != nil {
		return sign + " " + change.ObjectPath()
	}
	return sign + " " + change.ObjectPath() + " " + string(data)
}
