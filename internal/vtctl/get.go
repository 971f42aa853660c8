package vtctl

import (
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/verbenatrail/verbenatrail/internal/configstore"
	"github.com/verbenatrail/verbenatrail/internal/declare"
)

// getKinds are the values of KIND, in the order of the help text.
var getKinds = []string{"workspaces", "engines", "services", "selectors", "drains", "all"}

func (c *cli) getCommand() *cobra.Command {
	return &cobra.Command{
		Use: "get KIND", Short: "Show the newest committed declarations", ValidArgs: getKinds,
		Long: "get shows workspaces, engines, services, selectors, drains or all.\n" +
			"`vtctl get all -o yaml` prints a file that apply accepts.",
		Args:    usageArgs(cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs)),
		Example: "  vtctl get engines\n  vtctl get all -o yaml",
		RunE: func(command *cobra.Command, args []string) error {
			ctx, cancel := c.withTimeout(command)
			defer cancel()
			_, current, err := c.load(ctx)
			if err != nil {
				return err
			}
			return c.printObjects(args[0], current)
		},
	}
}

func (c *cli) printObjects(kind string, current *configstore.FullCopy) error {
	d := filterKind(kind, current.Declarations)
	if c.output == outputYAML {
		if kind != "all" {
			return errors.WithMessage(errUsage, "-o yaml is only supported by get all")
		}
		d.Drains = nil
		return c.printYAML(d)
	}
	return c.print(configstore.FullCopy{Revision: current.Revision, Declarations: &d}, func(out io.Writer) {
		printTable(out, [][]string{{"revision", strconv.FormatUint(current.Revision, 10)}})
		for _, rows := range [][][]string{workspaceRows(d), engineRows(d), serviceRows(d), selectorRows(d), drainRows(d)} {
			if len(rows) > 1 {
				printTable(out, rows)
			}
		}
	})
}

func filterKind(kind string, d *declare.Declarations) declare.Declarations {
	switch kind {
	case "workspaces":
		return declare.Declarations{Workspaces: d.Workspaces}
	case "engines":
		return declare.Declarations{Engines: d.Engines}
	case "services":
		return declare.Declarations{Services: d.Services}
	case "selectors":
		return declare.Declarations{Selectors: d.Selectors}
	case "drains":
		return declare.Declarations{Drains: d.Drains}
	default:
		return *d
	}
}

func workspaceRows(d declare.Declarations) [][]string {
	rows := [][]string{{"WORKSPACE", "PRIORITY", "WEIGHT", "LABELS"}}
	for _, w := range d.Workspaces {
		rows = append(rows, []string{w.Name, w.Priority, strconv.Itoa(w.Weight), labelsText(w.Labels)})
	}
	return rows
}

func engineRows(d declare.Declarations) [][]string {
	rows := [][]string{{"ENGINE", "MODEL", "WEIGHT", "CAPACITY", "LABELS"}}
	for _, e := range d.Engines {
		rows = append(rows, []string{e.Name, e.Model, strconv.Itoa(e.Weight), capacityText(e.Capacity), labelsText(e.Labels)})
	}
	return rows
}

func serviceRows(d declare.Declarations) [][]string {
	rows := [][]string{{"SERVICE", "INSTANCE", "WEIGHT", "CAPACITY", "LABELS"}}
	for _, s := range d.Services {
		if len(s.Instances) == 0 {
			rows = append(rows, []string{s.Name, "-", "-", "-", labelsText(s.Labels)})
		}
		for _, i := range s.Instances {
			rows = append(rows, []string{s.Name, i.Name, strconv.Itoa(i.Weight), capacityText(i.Capacity), labelsText(i.Labels)})
		}
	}
	return rows
}

func selectorRows(d declare.Declarations) [][]string {
	rows := [][]string{{"SELECTOR", "WORKSPACES", "MODELS", "SERVICES", "UPSTREAMS"}}
	for _, s := range d.Selectors {
		rows = append(rows, []string{s.Name, selectorText(s.Workspaces), listText(s.Models), listText(s.Services), selectorText(s.Upstreams)})
	}
	return rows
}

func drainRows(d declare.Declarations) [][]string {
	rows := [][]string{{"DRAINED"}}
	for _, drain := range d.Drains {
		rows = append(rows, []string{drain.Name})
	}
	return rows
}

func capacityText(capacity int) string {
	if capacity == 0 {
		return "no limit"
	}
	return strconv.Itoa(capacity)
}

func listText(items []string) string {
	if len(items) == 0 {
		return "-"
	}
	return strings.Join(items, ",")
}

func selectorText(s declare.LabelSelector) string {
	var parts []string
	if len(s.MatchLabels) > 0 {
		parts = append(parts, labelsText(s.MatchLabels))
	}
	for _, e := range s.MatchExpressions {
		text := e.Key + " " + string(e.Operator)
		if len(e.Values) > 0 {
			text += " (" + strings.Join(e.Values, ",") + ")"
		}
		parts = append(parts, text)
	}
	if len(parts) == 0 {
		return "all"
	}
	return strings.Join(parts, ",")
}
