// Package settings reads the YAML settings of a binary and reports every
// mistake at once.
package settings

import (
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// Duration is a time span written like "250ms" or "4s".
type Duration time.Duration

// UnmarshalYAML reads the text form.
func (d *Duration) UnmarshalYAML(data []byte) error {
	text := strings.Trim(strings.TrimSpace(string(data)), `"'`)
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("%q is no time span: write it like 250ms or 4s", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalYAML writes the text form.
func (d Duration) MarshalYAML() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the standard library's form.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Load reads a file over the defaults in out and checks it. Unknown fields are
// mistakes; the error lists all of them.
func Load(path string, out any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "settings can't be read: name the file with --config")
	}
	return Parse(path, data, out)
}

// Parse is Load for data that is in memory; name is used in errors.
func Parse(name string, data []byte, out any) error {
	if isEmpty(data) {
		// An empty document would reset the defaults.
		return check(name, out)
	}
	if err := yaml.UnmarshalWithOptions(data, out, yaml.Strict()); err != nil {
		return errors.Errorf("settings %s: %s", name, yaml.FormatError(err, false, true))
	}
	return check(name, out)
}

// isEmpty reports whether a document holds nothing but comments.
func isEmpty(data []byte) bool {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return false
	}
	for _, document := range file.Docs {
		if document.Body != nil && document.Body.Type() != ast.CommentType && document.Body.Type() != ast.NullType {
			return false
		}
	}
	return true
}

// inlineName stands for a struct whose fields belong to the one around it.
const inlineName = "~"

// yamlName returns the name of a field in a settings file.
func yamlName(field reflect.StructField) string {
	name, options, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	if options == "inline" {
		return inlineName
	}
	return name
}

// settingPath returns where a mistake stands in a settings file.
func settingPath(mistake validator.FieldError) string {
	_, path, _ := strings.Cut(mistake.Namespace(), ".")
	return strings.ReplaceAll(path, inlineName+".", "")
}

func check(name string, out any) error {
	checker := validator.New(validator.WithRequiredStructEnabled())
	checker.RegisterTagNameFunc(yamlName)
	err := checker.Struct(out)
	var mistakes validator.ValidationErrors
	if !errors.As(err, &mistakes) {
		return err
	}
	lines := make([]string, 0, len(mistakes))
	for _, m := range mistakes {
		line := settingPath(m) + ": must satisfy " + m.Tag()
		if m.Param() != "" {
			line += "=" + m.Param()
		}
		lines = append(lines, line)
	}
	return errors.Errorf("settings %s: %s", name, strings.Join(lines, "; "))
}
