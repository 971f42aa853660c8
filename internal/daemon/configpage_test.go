package daemon

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/settings"
)

const (
	modulePath     = "github.com/verbenatrail/verbenatrail/"
	repositoryRoot = "../../"
	configPage     = repositoryRoot + "docs/CONFIG.md"
)

var update = flag.Bool("update", false, "rewrite the pages that are generated from the code")

// TestConfigPageIsCurrent compares docs/CONFIG.md with the settings in the code.
// To regenerate the page, run: go test ./internal/daemon -run ConfigPage -update
func TestConfigPageIsCurrent(t *testing.T) {
	var page strings.Builder
	page.WriteString("# Settings\n\nEach binary reads one YAML file, named with `--config`; `--check-config` checks it\n" +
		"and lists every error. Durations are written like `250ms` or `4s`. This page is\n" +
		"generated: `go test ./internal/daemon -run ConfigPage -update`.\n")
	writeSettings(t, &page, "vt-router", DefaultRouterSettings())
	writeSettings(t, &page, "vt-directory", DefaultDirectorySettings())
	writeSettings(t, &page, "vt-steward", DefaultStewardSettings())
	comparePage(t, configPage, page.String())
}

func comparePage(t *testing.T, path, want string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("%s is out of date: run the test with -update and commit the page", path)
	}
}

func writeSettings(t *testing.T, page *strings.Builder, binary string, defaults any) {
	t.Helper()
	fmt.Fprintf(page, "\n## %s\n\n| setting | default | bounds | meaning |\n|---|---|---|---|\n", binary)
	docs := make(fieldDocs)
	writeFields(t, page, docs, "", reflect.ValueOf(defaults))
}

func writeFields(t *testing.T, page *strings.Builder, docs fieldDocs, prefix string, value reflect.Value) {
	t.Helper()
	for i := range value.NumField() {
		field := value.Type().Field(i)
		name, options, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		switch {
		case options == "inline":
			writeFields(t, page, docs, prefix, value.Field(i))
		case field.Type.Kind() == reflect.Struct:
			writeFields(t, page, docs, prefix+name+".", value.Field(i))
		default:
			doc := docs.lookup(t, value.Type(), field.Name)
			bounds := strings.ReplaceAll(field.Tag.Get("validate"), "|", "\\|")
			fmt.Fprintf(page, "| `%s%s` | %s | %s | %s |\n", prefix, name, defaultText(value.Field(i)), bounds, doc)
		}
	}
}

func defaultText(value reflect.Value) string {
	if d, ok := value.Interface().(settings.Duration); ok {
		return "`" + time.Duration(d).String() + "`"
	}
	if value.IsZero() {
		return ""
	}
	return fmt.Sprintf("`%v`", value.Interface())
}

// fieldDocs holds doc comments of struct fields by "package path.type.field". A
// package path alone is the key that marks a package as read.
type fieldDocs map[string]string

func (d fieldDocs) lookup(t *testing.T, owner reflect.Type, field string) string {
	t.Helper()
	if _, read := d[owner.PkgPath()]; !read {
		d.readPackage(t, owner.PkgPath())
	}
	return d[owner.PkgPath()+"."+owner.Name()+"."+field]
}

// readPackage collects the doc comments of all struct fields of a package.
func (d fieldDocs) readPackage(t *testing.T, pkgPath string) {
	t.Helper()
	d[pkgPath] = ""
	files, err := filepath.Glob(filepath.Join(repositoryRoot, strings.TrimPrefix(pkgPath, modulePath), "*.go"))
	if err != nil || len(files) == 0 {
		t.Fatalf("sources of %s: %v", pkgPath, err)
	}
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(parsed, func(node ast.Node) bool {
			if spec, ok := node.(*ast.TypeSpec); ok {
				d.readType(pkgPath, spec)
			}
			return true
		})
	}
}

func (d fieldDocs) readType(pkgPath string, spec *ast.TypeSpec) {
	structType, ok := spec.Type.(*ast.StructType)
	if !ok {
		return
	}
	doc := ""
	for _, field := range structType.Fields.List {
		// A field without a doc comment shares that of the field above it.
		if field.Doc != nil {
			doc = strings.Join(strings.Fields(field.Doc.Text()), " ")
		}
		for _, name := range field.Names {
			d[pkgPath+"."+spec.Name.Name+"."+name.Name] = doc
		}
	}
}
