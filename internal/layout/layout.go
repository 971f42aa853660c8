// Package layout prepares a directory to run a fleet on the local host: it
// allocates free loopback ports and writes the settings of each process, the hosts
// file, the declarations and the list of processes. It starts no processes.
package layout

import (
	"os"
	"path/filepath"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// Kind is the kind of a process.
type Kind string

// Kinds of process.
const (
	KindKeyValue  Kind = "key-value"
	KindHostList  Kind = "host-list"
	KindEngine    Kind = "engine"
	KindService   Kind = "service"
	KindRouter    Kind = "router"
	KindDirectory Kind = "directory"
	KindSteward   Kind = "steward"
)

// Process is one process of the fleet.
type Process struct {
	Name   string   `yaml:"name"`
	Kind   Kind     `yaml:"kind"`
	Binary string   `yaml:"binary"`
	Args   []string `yaml:"args"`
	// Address is the host:port address of its HTTP interface.
	Address string `yaml:"address,omitempty"`
	// Admin is the host:port address of its admin pages; empty for stand-ins, which
	// serve them at Address.
	Admin   string `yaml:"admin,omitempty"`
	PIDFile string `yaml:"pid_file"`
	LogFile string `yaml:"log_file"`
}

// IsDaemon reports whether the process is a router, a directory or a steward, as
// opposed to a stand-in for the platform or an upstream.
func (p *Process) IsDaemon() bool {
	return p.Kind == KindRouter || p.Kind == KindDirectory || p.Kind == KindSteward
}

// Layout is the list of processes, in the order in which they are started.
type Layout struct {
	Processes []Process `yaml:"processes"`

	dir string
}

// Dir returns the directory that the layout was written to or read from.
func (l *Layout) Dir() string { return l.dir }

// ErrUnknownProcess means that the layout has no process with the given name.
var ErrUnknownProcess = errors.New("no such process in the layout: compare the trace with processes.yaml")

// Names of the files in a layout's directory.
const (
	processesFile   = "processes.yaml"
	hostsFile       = "hosts.yaml"
	declarationsDir = "declarations"
	declarationFile = "fleet.yaml"
	settingsDir     = "settings"
	runDir          = "run"
	logDir          = "log"
)

// Names of the stand-ins for the platform's services.
const (
	KeyValueName = "key-value"
	HostListName = "host-list"
)

// ByName returns the process with the given name, or ErrUnknownProcess.
func (l *Layout) ByName(name string) (*Process, error) {
	for i := range l.Processes {
		if l.Processes[i].Name == name {
			return &l.Processes[i], nil
		}
	}
	return nil, errors.Wrap(ErrUnknownProcess, name)
}

// OfKind returns the processes of a kind.
func (l *Layout) OfKind(kind Kind) []Process {
	var out []Process
	for _, p := range l.Processes {
		if p.Kind == kind {
			out = append(out, p)
		}
	}
	return out
}

// DeclarationsPath returns the directory of the declarations.
func DeclarationsPath(dir string) string { return filepath.Join(dir, declarationsDir) }

// Load reads the list of processes from a layout's directory.
func Load(dir string) (*Layout, error) {
	data, err := os.ReadFile(filepath.Join(dir, processesFile))
	if err != nil {
		return nil, errors.Wrap(err, "layout can't be read: create one with vt-replay layout")
	}
	l := &Layout{dir: dir}
	if err := yaml.UnmarshalWithOptions(data, l, yaml.Strict()); err != nil {
		return nil, errors.Wrap(err, processesFile)
	}
	return l, nil
}
