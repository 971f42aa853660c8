package replay

import (
	"path/filepath"

	"github.com/verbenatrail/verbenatrail/internal/plots"
)

// Names of the plot files.
const (
	plotLoad    = "load.svg"
	plotReuse   = "reuse.svg"
	plotControl = "control.svg"
)

func writePlots(dir string, r *Record) error {
	files := []struct {
		file, title, axis string
		lines             plots.Series
	}{
		{plotLoad, "Load per engine", "requests in flight", loadSeries(r)},
		{plotReuse, "Cache reuse", "cached over prompt tokens", reuseSeries(r)},
		{plotControl, "Control traffic per daemon", "bytes per second", controlSeries(r)},
	}
	for _, p := range files {
		axes := plots.Axes{Title: p.title, X: "time in seconds", Y: p.axis}
		if err := plots.Write(filepath.Join(dir, p.file), axes, p.lines); err != nil {
			return err
		}
	}
	return nil
}

func loadSeries(r *Record) plots.Series {
	lines := make(plots.Series)
	for _, sample := range r.Samples {
		for _, e := range sample.Engines {
			lines.Add(e.Name, sample.At.Seconds(), float64(e.InFlight))
		}
	}
	return lines
}

// reuseSeries returns the fraction of prompt tokens since the start that were cached,
// by pool.
func reuseSeries(r *Record) plots.Series {
	lines := make(plots.Series)
	for _, sample := range r.Samples {
		prompt, cached := make(map[string]int64), make(map[string]int64)
		for _, e := range sample.Engines {
			prompt[e.Pool] += e.PromptTokens
			cached[e.Pool] += e.CachedTokens
		}
		for pool, total := range prompt {
			if total > 0 {
				lines.Add(pool, sample.At.Seconds(), float64(cached[pool])/float64(total))
			}
		}
	}
	return lines
}

// controlWindow is the number of samples over which a control traffic rate is
// computed.
const controlWindow = 8

func controlSeries(r *Record) plots.Series {
	lines := make(plots.Series)
	for i := controlWindow; i < len(r.Samples); i++ {
		before, now := r.Samples[i-controlWindow], r.Samples[i]
		for _, d := range now.Daemons {
			earlier, ok := findDaemon(before, d.Name)
			if ok {
				rate := (d.ControlBytes - earlier.ControlBytes) / (now.At - before.At).Seconds()
				lines.Add(d.Name, now.At.Seconds(), rate)
			}
		}
	}
	return lines
}

func findDaemon(s Sample, name string) (DaemonSample, bool) {
	for _, d := range s.Daemons {
		if d.Name == name {
			return d, true
		}
	}
	return DaemonSample{}, false
}
