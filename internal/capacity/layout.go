package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/daemon"
	"github.com/verbenatrail/verbenatrail/internal/hostlist"
)

const (
	// instanceCount is the number of service instances, which are stand-ins.
	instanceCount = 2
	// portsPerRouter counts the ports for callers, peers and admin.
	portsPerRouter = 3
	layoutFile     = "layout.json"
	filePermission = 0o644
	dirPermission  = 0o755
)

// Ports of the stand-ins, the directory and the steward, as offsets from the first
// port. Those of the engine stand-ins and then of the routers follow.
const (
	portKV = iota
	portHostList
	portDirectoryCallers
	portDirectoryPeers
	portDirectoryAdmin
	portSteward
	portInstances
	portEngines = portInstances + instanceCount
)

// Node holds the addresses of one router or directory.
type Node struct {
	Name    string `json:"name"`
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Admin   string `json:"admin"`
}

// Layout describes a fleet on loopback and the addresses of its processes.
type Layout struct {
	Size      Size     `json:"size"`
	Seed      uint64   `json:"seed"`
	KV        string   `json:"kv"`
	HostList  string   `json:"host_list"`
	Engines   []string `json:"engines"`
	Instances []string `json:"instances"`
	Directory Node     `json:"directory"`
	// Steward is the steward's admin address.
	Steward string `json:"steward"`
	Routers []Node `json:"routers"`
}

// NewLayout assigns consecutive ports to the processes, starting at firstPort.
func NewLayout(size Size, seed uint64, firstPort int) *Layout {
	at := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", firstPort+offset) }
	l := &Layout{
		Size: size, Seed: seed, KV: at(portKV), HostList: at(portHostList), Steward: at(portSteward),
		Directory: Node{
			Name: "directory-1", Callers: at(portDirectoryCallers),
			Peers: at(portDirectoryPeers), Admin: at(portDirectoryAdmin),
		},
	}
	for i := range size.EngineServers {
		l.Engines = append(l.Engines, at(portEngines+i))
	}
	for i := range instanceCount {
		l.Instances = append(l.Instances, at(portInstances+i))
	}
	for i := range size.Routers {
		first := portEngines + size.EngineServers + i*portsPerRouter
		l.Routers = append(l.Routers, Node{Name: routerName(i), Callers: at(first), Peers: at(first + 1), Admin: at(first + 2)})
	}
	return l
}

// Hosts returns the platform's host list. The listed engines share the engine
// stand-ins, which can be fewer.
func (l *Layout) Hosts() hostlist.List {
	var list hostlist.List
	add := func(i int, h hostlist.Host) {
		h.Region, h.FailureDomain, h.State = region(i), domain(i), hostlist.StateLive
		list.Hosts = append(list.Hosts, h)
	}
	for i, r := range l.Routers {
		add(i, hostlist.Host{Name: r.Name, Kind: hostlist.KindRouter, Address: r.Callers, PeerAddress: r.Peers})
	}
	add(0, hostlist.Host{
		Name: l.Directory.Name, Kind: hostlist.KindDirectory, Address: l.Directory.Callers, PeerAddress: l.Directory.Peers,
	})
	for i := range l.Size.Engines {
		add(i, hostlist.Host{Name: engineName(i), Kind: hostlist.KindEngine, Address: l.Engines[i%len(l.Engines)]})
	}
	for i, address := range l.Instances {
		add(i, hostlist.Host{Name: instanceName(i), Kind: hostlist.KindService, Address: address})
	}
	return list
}

// common returns the settings of one node: the defaults in base except for its name,
// location, addresses and log level.
func (l *Layout) common(base daemon.Common, i int, n Node) daemon.Common {
	base.Name, base.Region, base.FailureDomain = n.Name, region(i), domain(i)
	base.Listen = daemon.Listen{Callers: n.Callers, Peers: n.Peers, Admin: n.Admin}
	base.Platform = l.platform()
	base.Telemetry.LogLevel = "warning"
	return base
}

func (l *Layout) platform() daemon.Platform {
	return daemon.Platform{KeyValue: []string{"http://" + l.KV}, HostList: "http://" + l.HostList}
}

func (l *Layout) stewardSettings() daemon.StewardSettings {
	s := daemon.DefaultStewardSettings()
	s.Name, s.Listen.Admin, s.Platform = "steward-1", l.Steward, l.platform()
	s.Telemetry.LogLevel = "warning"
	return s
}

// Write writes the settings files of the processes, the host list and the layout
// itself into a directory.
func (l *Layout) Write(dir string) error {
	if err := os.MkdirAll(dir, dirPermission); err != nil {
		return errors.Wrap(err, "create capacity directory: choose another")
	}
	if err := writeYAML(filepath.Join(dir, "hosts.yaml"), l.Hosts()); err != nil {
		return err
	}
	for i, r := range l.Routers {
		s := daemon.DefaultRouterSettings()
		s.Common = l.common(s.Common, i, r)
		if err := writeYAML(filepath.Join(dir, r.Name+".yaml"), s); err != nil {
			return err
		}
	}
	s := daemon.DefaultDirectorySettings()
	s.Common = l.common(s.Common, 0, l.Directory)
	if err := writeYAML(filepath.Join(dir, l.Directory.Name+".yaml"), s); err != nil {
		return err
	}
	if err := writeYAML(filepath.Join(dir, "steward-1.yaml"), l.stewardSettings()); err != nil {
		return err
	}
	data, err := json.Marshal(l)
	if err != nil {
		return errors.Wrap(err, "encode layout")
	}
	return writeFile(filepath.Join(dir, layoutFile), data)
}

// ReadLayout reads the layout that Write wrote into a directory.
func ReadLayout(dir string) (*Layout, error) {
	data, err := os.ReadFile(filepath.Join(dir, layoutFile))
	if err != nil {
		return nil, errors.Wrap(err, "read layout: run vt-capacity prepare first")
	}
	l := &Layout{}
	return l, errors.Wrap(json.Unmarshal(data, l), "decode layout: run vt-capacity prepare again")
}

func writeYAML(path string, value any) error {
	data, err := yaml.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode "+filepath.Base(path))
	}
	return writeFile(path, data)
}

func writeFile(path string, data []byte) error {
	return errors.Wrap(os.WriteFile(path, data, filePermission), "write capacity files")
}
