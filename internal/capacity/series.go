package capacity

import (
	"bufio"
	"encoding/json"
	"io"
	"sort"

	"github.com/pkg/errors"
)

// Observation is one measured value at one size.
type Observation struct {
	// Figure names the measured quantity, Unit its unit.
	Figure string `json:"figure"`
	Unit   string `json:"unit"`
	// Against names the size that was varied, X its value.
	Against string  `json:"against"`
	X       float64 `json:"x"`
	Y       float64 `json:"y"`
	// Load is the load average of the machine when the value was recorded.
	Load float64 `json:"load"`
}

// Series holds the values of one figure at several sizes, sorted by size.
type Series struct {
	Figure  string  `json:"figure"`
	Unit    string  `json:"unit"`
	Against string  `json:"against"`
	Points  []Point `json:"points"`
	// Fit is nil when there are too few points.
	Fit *Fit `json:"fit,omitempty"`
}

// WriteObservations appends observations as JSON lines.
func WriteObservations(w io.Writer, observations []Observation) error {
	encoder := json.NewEncoder(w)
	for _, o := range observations {
		if err := encoder.Encode(o); err != nil {
			return errors.Wrap(err, "write observations")
		}
	}
	return nil
}

// ReadObservations reads observations written by WriteObservations.
func ReadObservations(r io.Reader) ([]Observation, error) {
	var out []Observation
	decoder := json.NewDecoder(bufio.NewReader(r))
	for {
		var o Observation
		err := decoder.Decode(&o)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "decode observations file: measure again")
		}
		out = append(out, o)
	}
}

// seriesKey identifies a series.
type seriesKey struct{ against, figure, unit string }

// Collect groups observations into series and fits a line to each. Repeated
// measurements of one size stay separate points.
func Collect(observations []Observation) []Series {
	byKey := make(map[seriesKey]*Series)
	var keys []seriesKey
	for _, o := range observations {
		key := seriesKey{o.Against, o.Figure, o.Unit}
		s := byKey[key]
		if s == nil {
			s = &Series{Figure: o.Figure, Unit: o.Unit, Against: o.Against}
			byKey[key] = s
			keys = append(keys, key)
		}
		s.Points = append(s.Points, Point{X: o.X, Y: o.Y})
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].before(keys[j]) })
	out := make([]Series, 0, len(keys))
	for _, key := range keys {
		out = append(out, byKey[key].fitted())
	}
	return out
}

func (k seriesKey) before(other seriesKey) bool {
	if k.against != other.against {
		return k.against < other.against
	}
	if k.figure != other.figure {
		return k.figure < other.figure
	}
	return k.unit < other.unit
}

func (s *Series) fitted() Series {
	sort.SliceStable(s.Points, func(i, j int) bool { return s.Points[i].X < s.Points[j].X })
	if fit, err := FitLine(s.Points); err == nil {
		s.Fit = &fit
	}
	return *s
}
