package replay

import (
	"path/filepath"
	"sort"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Files of the plots.
const (
	plotLoad    = "load.svg"
	plotReuse   = "reuse.svg"
	plotControl = "control.svg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// series are named lines over time in seconds.
type series map[string]plotter.XYs

func (s series) add(name string, seconds, value float64) {
	s[name] = append(s[name], plotter.XY{X: seconds, Y: value})
}

func writePlots(dir string, r *Record) error {
	plots := []struct {
		file, title, axis string
		lines             series
	}{
		{plotLoad, "Load per engine", "requests in flight", loadSeries(r)},
		{plotReuse, "Cache reuse", "cached over prompt tokens", reuseSeries(r)},
		{plotControl, "Control traffic per daemon", "bytes per second", controlSeries(r)},
	}
	for _, p := range plots {
		if err := writePlot(filepath.Join(dir, p.file), p.title, p.axis, p.lines); err != nil {
			return errors.Wrap(err, p.file)
		}
	}
	return nil
}

func writePlot(path, title, axis string, lines series) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "time in seconds"
	p.Y.Label.Text = axis
	p.Y.Min = 0
	p.Legend.Top = true
	names := make([]string, 0, len(lines))
	for name := range lines {
		names = append(names, name)
	}
	sort.Strings(names)
	for i, name := range names {
		line, err := plotter.NewLine(lines[name])
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i / len(plotutil.SoftColors))
		p.Add(line)
		p.Legend.Add(name, line)
	}
	return p.Save(plotWidth, plotHeight, path)
}

func loadSeries(r *Record) series {
	lines := make(series)
	for _, sample := range r.Samples {
		for _, e := range sample.Engines {
			lines.add(e.Name, sample.At.Seconds(), float64(e.InFlight))
		}
	}
	return lines
}

// reuseSeries is the share of cached prompt tokens since the start, by pool.
func reuseSeries(r *Record) series {
	lines := make(series)
	for _, sample := range r.Samples {
		prompt, cached := make(map[string]int64), make(map[string]int64)
		for _, e := range sample.Engines {
			prompt[e.Pool] += e.PromptTokens
			cached[e.Pool] += e.CachedTokens
		}
		for pool, total := range prompt {
			if total > 0 {
				lines.add(pool, sample.At.Seconds(), float64(cached[pool])/float64(total))
			}
		}
	}
	return lines
}

// controlWindow is the number of samples over which a rate is taken.
const controlWindow = 8

func controlSeries(r *Record) series {
	lines := make(series)
	for i := controlWindow; i < len(r.Samples); i++ {
		before, now := r.Samples[i-controlWindow], r.Samples[i]
		for _, d := range now.Daemons {
			earlier, ok := daemonIn(before, d.Name)
			if ok {
				rate := (d.ControlBytes - earlier.ControlBytes) / (now.At - before.At).Seconds()
				lines.add(d.Name, now.At.Seconds(), rate)
			}
		}
	}
	return lines
}

func daemonIn(s Sample, name string) (DaemonSample, bool) {
	for _, d := range s.Daemons {
		if d.Name == name {
			return d, true
		}
	}
	return DaemonSample{}, false
}
