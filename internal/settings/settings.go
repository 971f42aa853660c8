// Package settings reads the YAML settings of a binary and reports all validation
// errors together.
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

// Duration is a time.Duration that is written like "250ms" or "4s" in YAML.
type Duration time.Duration

// UnmarshalYAML parses the text form.
func (d *Duration) UnmarshalYAML(data []byte) error {
	text := strings.Trim(strings.TrimSpace(string(data)), `"'`)
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("%q is not a valid duration: write it like 250ms or 4s", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalYAML writes the text form.
func (d Duration) MarshalYAML() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Load reads a file into out, which holds the defaults, and validates the result.
// Unknown fields are errors. The error of the validation lists all invalid
// settings.
func Load(path string, out any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "settings can't be read: name the file with --config")
	}
	return Parse(path, data, out)
}

// Parse is Load for data in memory; name identifies the data in errors.
func Parse(name string, data []byte, out any) error {
	if isEmpty(data) {
		// Unmarshalling an empty document would reset the defaults.
		return validate(name, out)
	}
	if err := yaml.UnmarshalWithOptions(data, out, yaml.Strict()); err != nil {
		return errors.Errorf("settings %s: %s", name, yaml.FormatError(err, false, true))
	}
	return validate(name, out)
}

// isEmpty reports whether the data contains nothing but comments and nulls.
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

// inlineName is the validator's name for an inlined struct, whose fields belong to
// the enclosing struct in the file.
const inlineName = "~"

// yamlName returns the name of a field in a settings file.
func yamlName(field reflect.StructField) string {
	name, options, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	if options == "inline" {
		return inlineName
	}
	return name
}

// settingPath returns the path of an invalid field in the settings file.
func settingPath(invalid validator.FieldError) string {
	_, path, _ := strings.Cut(invalid.Namespace(), ".")
	return strings.ReplaceAll(path, inlineName+".", "")
}

func validate(name string, out any) error {
	checker := validator.New(validator.WithRequiredStructEnabled())
	checker.RegisterTagNameFunc(yamlName)
	err := checker.Struct(out)
	var fieldErrors validator.ValidationErrors
	if !errors.As(err, &fieldErrors) {
		return err
	}
	lines := make([]string, 0, len(fieldErrors))
	for _, f := range fieldErrors {
		line := settingPath(f) + ": must satisfy " + f.Tag()
		if f.Param() != "" {
			line += "=" + f.Param()
		}
		lines = append(lines, line)
	}
	return errors.Errorf("settings %s: %s", name, strings.Join(lines, "; "))
}
