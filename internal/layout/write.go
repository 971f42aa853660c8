package layout

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/daemon"
	"github.com/verbenatrail/verbenatrail/internal/freeport"
	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/trace"
)

// Options are the output directory of a layout and the configuration of its
// processes.
type Options struct {
	// Dir is the directory that all files are written to.
	Dir string
	// Binaries is the directory of the executables.
	Binaries string
	// Stewards is the number of stewards.
	Stewards int
	// Router and Directory modify the settings of each router and directory; nil
	// keeps the defaults.
	Router    func(*daemon.RouterSettings)
	Directory func(*daemon.DirectorySettings)
	// Ports allocates the addresses; nil means a new allocator.
	Ports *freeport.Allocator
	// EngineArgs are appended to the arguments of each engine.
	EngineArgs []string
}

// Write writes the files of a layout for a trace's deployment.
func Write(t *trace.Trace, o Options) (*Layout, error) {
	if o.Ports == nil {
		o.Ports = freeport.NewAllocator()
	}
	w := &writer{trace: t, options: o, ports: o.Ports, layout: &Layout{dir: o.Dir}}
	steps := []func() error{
		w.makeDirectories, w.addPlatform, w.addEngines, w.addServices,
		w.addRouters, w.addDirectories, w.addStewards,
		w.writeHosts, w.writeDeclarations, w.writeProcesses,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return w.layout, nil
}

type writer struct {
	trace    *trace.Trace
	options  Options
	ports    *freeport.Allocator
	layout   *Layout
	hosts    hostlist.List
	platform daemon.Platform
}

func (w *writer) makeDirectories() error {
	for _, name := range []string{settingsDir, declarationsDir, runDir, logDir} {
		if err := os.MkdirAll(filepath.Join(w.options.Dir, name), 0o755); err != nil {
			return errors.Wrap(err, "layout directory can't be created: choose another --out")
		}
	}
	return nil
}

// addProcess appends a process to the layout and sets its binary, arguments and
// file paths.
func (w *writer) addProcess(p Process, binary string, args ...string) {
	p.Binary = filepath.Join(w.options.Binaries, binary)
	p.Args = args
	p.PIDFile = filepath.Join(w.options.Dir, runDir, p.Name+".pid")
	p.LogFile = filepath.Join(w.options.Dir, logDir, p.Name+".log")
	w.layout.Processes = append(w.layout.Processes, p)
}

func (w *writer) addPlatform() error {
	keyValue, err := w.ports.Allocate()
	if err != nil {
		return err
	}
	hostList, err := w.ports.Allocate()
	if err != nil {
		return err
	}
	s := w.trace.Settings
	w.platform = daemon.Platform{KeyValue: []string{"http://" + keyValue}, HostList: "http://" + hostList}
	w.addProcess(Process{Name: KeyValueName, Kind: KindKeyValue, Address: keyValue}, "vt-standin", "kv",
		"--listen", keyValue,
		"--writes-per-second", strconv.Itoa(s.KeyValueWritesPerS),
		"--reads-per-second", strconv.Itoa(s.KeyValueReadsPerS))
	lag := time.Duration(s.HostListLagMS) * time.Millisecond
	w.addProcess(Process{Name: HostListName, Kind: KindHostList, Address: hostList}, "vt-standin", "hostlist",
		"--listen", hostList, "--hosts", filepath.Join(w.options.Dir, hostsFile), "--lag", lag.String())
	return nil
}

func (w *writer) addEngines() error {
	for _, e := range w.trace.Settings.Engines {
		address, err := w.ports.Allocate()
		if err != nil {
			return err
		}
		args := []string{
			"engine", "--listen", address, "--models", e.Model,
			"--slots", strconv.Itoa(e.Slots),
			"--token-ms", strconv.FormatInt(e.TokenMS, 10),
			"--cache-tokens", strconv.Itoa(e.CacheTokens),
		}
		args = append(args, w.options.EngineArgs...)
		w.addProcess(Process{Name: e.Name, Kind: KindEngine, Address: address}, "vt-standin", args...)
		w.addHost(e.Name, hostlist.KindEngine, address, "", e.FailureDomain)
	}
	return nil
}

func (w *writer) addServices() error {
	for _, s := range w.trace.Settings.Services {
		for _, instance := range s.Instances {
			address, err := w.ports.Allocate()
			if err != nil {
				return err
			}
			w.addProcess(Process{Name: instance.Name, Kind: KindService, Address: address}, "vt-standin",
				"service", "--listen", address, "--name", instance.Name)
			w.addHost(instance.Name, hostlist.KindService, address, "", instance.FailureDomain)
		}
	}
	return nil
}

func (w *writer) addRouters() error {
	for i := range w.trace.Settings.Routers {
		s := daemon.DefaultRouterSettings()
		if err := w.setCommon(&s.Common, fmt.Sprintf("router-%d", i+1), i); err != nil {
			return err
		}
		if w.options.Router != nil {
			w.options.Router(&s)
		}
		if err := w.addDaemon(&s.Common, KindRouter, hostlist.KindRouter, "vt-router", s); err != nil {
			return err
		}
	}
	return nil
}

func (w *writer) addDirectories() error {
	for i := range w.trace.Settings.Directories {
		s := daemon.DefaultDirectorySettings()
		if err := w.setCommon(&s.Common, fmt.Sprintf("directory-%d", i+1), i); err != nil {
			return err
		}
		if w.options.Directory != nil {
			w.options.Directory(&s)
		}
		if err := w.addDaemon(&s.Common, KindDirectory, hostlist.KindDirectory, "vt-directory", s); err != nil {
			return err
		}
	}
	return nil
}

// setCommon sets the settings that routers and directories share. Processes are
// distributed over the failure domains by index.
func (w *writer) setCommon(c *daemon.Common, name string, index int) error {
	domains := w.trace.Settings.FailureDomains
	c.Name, c.Region = name, w.trace.Settings.Region
	c.FailureDomain = domains[index%len(domains)]
	c.Platform = w.platform
	for _, address := range []*string{&c.Listen.Callers, &c.Listen.Peers, &c.Listen.Admin} {
		allocated, err := w.ports.Allocate()
		if err != nil {
			return err
		}
		*address = allocated
	}
	return nil
}

func (w *writer) addDaemon(c *daemon.Common, kind Kind, hostKind hostlist.Kind, binary string, settings any) error {
	path, err := w.writeSettings(c.Name, settings)
	if err != nil {
		return err
	}
	w.addProcess(Process{Name: c.Name, Kind: kind, Address: c.Listen.Callers, Admin: c.Listen.Admin}, binary, "--config", path)
	w.addHost(c.Name, hostKind, c.Listen.Callers, c.Listen.Peers, c.FailureDomain)
	return nil
}

func (w *writer) addStewards() error {
	for i := range w.options.Stewards {
		s := daemon.DefaultStewardSettings()
		admin, err := w.ports.Allocate()
		if err != nil {
			return err
		}
		s.Name, s.Listen.Admin, s.Platform = fmt.Sprintf("steward-%d", i+1), admin, w.platform
		path, err := w.writeSettings(s.Name, s)
		if err != nil {
			return err
		}
		w.addProcess(Process{Name: s.Name, Kind: KindSteward, Admin: admin}, "vt-steward", "--config", path)
	}
	return nil
}

func (w *writer) addHost(name string, kind hostlist.Kind, address, peers, domain string) {
	w.hosts.Hosts = append(w.hosts.Hosts, hostlist.Host{
		Name: name, Kind: kind, Address: address, PeerAddress: peers,
		Region: w.trace.Settings.Region, FailureDomain: domain, State: hostlist.StateLive,
	})
}

func (w *writer) writeSettings(name string, settings any) (string, error) {
	path := filepath.Join(w.options.Dir, settingsDir, name+".yaml")
	return path, writeYAML(path, settings)
}

func (w *writer) writeHosts() error {
	return writeYAML(filepath.Join(w.options.Dir, hostsFile), w.hosts)
}

func (w *writer) writeDeclarations() error {
	path := filepath.Join(w.options.Dir, declarationsDir, declarationFile)
	return writeYAML(path, Declarations(w.trace))
}

func (w *writer) writeProcesses() error {
	return writeYAML(filepath.Join(w.options.Dir, processesFile), w.layout)
}

func writeYAML(path string, value any) error {
	data, err := yaml.Marshal(value)
	if err != nil {
		return errors.Wrap(err, path)
	}
	return errors.Wrap(os.WriteFile(path, data, 0o644), "layout file")
}
