package layout

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/daemon"
	"github.com/verbenatrail/verbenatrail/internal/declare"
	"github.com/verbenatrail/verbenatrail/internal/settings"
	"github.com/verbenatrail/verbenatrail/internal/standin/hostserver"
	"github.com/verbenatrail/verbenatrail/internal/trace"
)

func writeLayout(t *testing.T, profile trace.Profile) (string, *Layout) {
	t.Helper()
	dir := t.TempDir()
	l, err := Write(trace.Generate(profile, 1, time.Second), Options{Dir: dir, Binaries: "bin", Stewards: 1})
	if err != nil {
		t.Fatal(err)
	}
	return dir, l
}

func TestWrittenFilesAreValid(t *testing.T) {
	for _, profile := range []trace.Profile{trace.Shrestha(), trace.Litoral()} {
		dir, l := writeLayout(t, profile)
		for _, p := range l.Processes {
			checkSettings(t, &p)
		}
		if _, err := declare.Load(DeclarationsPath(dir)); err != nil {
			t.Errorf("%s: %v", profile.Settings.Name, err)
		}
		checkHosts(t, dir, l)
	}
}

func checkSettings(t *testing.T, p *Process) {
	t.Helper()
	var err error
	switch p.Kind {
	case KindRouter:
		s := daemon.DefaultRouterSettings()
		err = settings.Load(p.Args[1], &s)
	case KindDirectory:
		s := daemon.DefaultDirectorySettings()
		err = settings.Load(p.Args[1], &s)
	case KindSteward:
		s := daemon.DefaultStewardSettings()
		err = settings.Load(p.Args[1], &s)
	}
	if err != nil {
		t.Errorf("%s: %v", p.Name, err)
	}
}

func checkHosts(t *testing.T, dir string, l *Layout) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(dir, hostsFile))
	if err != nil {
		t.Fatal(err)
	}
	hosts, err := hostserver.ParseHosts(data)
	if err != nil {
		t.Fatal(err)
	}
	for _, h := range hosts {
		p, err := l.ByName(h.Name)
		if err != nil || p.Address != h.Address {
			t.Errorf("host %+v doesn't match its process %+v: %v", h, p, err)
		}
	}
}

func TestLoadReturnsWrittenLayoutWithUniqueAddresses(t *testing.T) {
	dir, written := writeLayout(t, trace.Shrestha())
	read, err := Load(dir)
	if err != nil {
		t.Fatal(err)
	}
	if len(read.Processes) != len(written.Processes) || len(read.OfKind(KindRouter)) != 4 {
		t.Fatalf("read %d processes, wrote %d", len(read.Processes), len(written.Processes))
	}
	seen := make(map[string]string)
	for _, p := range read.Processes {
		for _, address := range []string{p.Address, p.Admin} {
			if other := seen[address]; address != "" && other != "" {
				t.Errorf("%s and %s share the address %s", p.Name, other, address)
			}
			seen[address] = p.Name
		}
	}
	if _, err := read.ByName("nobody"); !errors.Is(err, ErrUnknownProcess) {
		t.Errorf("error for an unknown name = %v, want ErrUnknownProcess", err)
	}
}
