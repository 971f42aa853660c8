package declare

import (
	"os"
	"path/filepath"
	"sort"

	"github.com/pkg/errors"
)

// MaxFileBytes is the maximum size of one declarations file.
const MaxFileBytes = 16 << 20

// File is the content of one declarations file.
type File struct {
	Name string
	Data []byte
}

// Source holds parsed declarations with the position of each object and field.
type Source struct {
	Declarations Declarations
	positions    positions
}

// positions maps the path of an object or field, like "selector/a/models", to its
// position.
type positions map[string]Position

// ReadPath reads one file, or all files of a directory that end in .yaml or
// .yml, in name order.
func ReadPath(path string) ([]File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "cannot read declarations: give the path of a file or a directory")
	}
	names := []string{path}
	if info.IsDir() {
		names, err = yamlFiles(path)
		if err != nil {
			return nil, err
		}
	}
	files := make([]File, 0, len(names))
	for _, name := range names {
		file, err := readFile(name)
		if err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	return files, nil
}

func readFile(name string) (File, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return File{}, errors.Wrap(err, "cannot read declarations file")
	}
	if len(data) > MaxFileBytes {
		return File{}, errors.Errorf("%s has %d bytes, the limit is %d: split the file", name, len(data), MaxFileBytes)
	}
	return File{Name: name, Data: data}, nil
}

func yamlFiles(directory string) ([]string, error) {
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil, errors.Wrap(err, "cannot read declarations directory")
	}
	var names []string
	for _, entry := range entries {
		extension := filepath.Ext(entry.Name())
		if !entry.IsDir() && (extension == ".yaml" || extension == ".yml") {
			names = append(names, filepath.Join(directory, entry.Name()))
		}
	}
	if len(names) == 0 {
		return nil, errors.Errorf("no .yaml or .yml file in %s: give the directory that holds the declarations", directory)
	}
	sort.Strings(names)
	return names, nil
}

// Load reads, parses and validates the files of a path. The error is
// ValidationErrors when the files can be read but are invalid.
func Load(path string) (*Declarations, error) {
	files, err := ReadPath(path)
	if err != nil {
		return nil, err
	}
	source, err := Parse(files)
	if err != nil {
		return nil, err
	}
	if err := source.Check(); err != nil {
		return nil, err
	}
	return &source.Declarations, nil
}
