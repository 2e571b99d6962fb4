// Package slope extrapolates measurements at sizes that fit on one machine linearly to the target size.
package slope

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/joomcode/errorx"
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("slope")
	// BadFile is the error type of a file of measurements that cannot be used.
	BadFile = Errors.NewType("bad_file")
)

// Sample is one measured value at one size.
type Sample struct {
	Size  float64
	Value float64
}

// Series is one quantity measured over one variable.
type Series struct {
	// Name identifies the quantity, such as "Reducer.RequestTime".
	Name string
	// Unit is the unit of the values: ns, B, B/s, calls/s or cores.
	Unit string
	// Variable is what the sizes count, such as Replicas.
	Variable string
	Samples  []Sample
	// Command is the command that measured the samples.
	Command string
}

// Line is a linear function of the size.
type Line struct {
	Intercept float64
	Slope     float64
}

// At returns the line's value at a size. A fitted line can be negative at small sizes, where At returns 0.
func (ln Line) At(size float64) float64 {
	return max(0, ln.Intercept+ln.Slope*size)
}

// Fit returns the least-squares line through the samples. With one sample, samples of one size or a falling line, it
// returns the mean as a flat line. No cost here falls with size; a falling line is noise, and extrapolated to a size
// fourteen times as large it would promise a low cost that nobody measured.
func (sr Series) Fit() Line {
	var sumSize, sumValue float64
	count := float64(len(sr.Samples))
	if count == 0 {
		return Line{}
	}
	for _, sm := range sr.Samples {
		sumSize += sm.Size
		sumValue += sm.Value
	}
	meanSize, meanValue := sumSize/count, sumValue/count
	var cross, square float64
	for _, sm := range sr.Samples {
		cross += (sm.Size - meanSize) * (sm.Value - meanValue)
		square += (sm.Size - meanSize) * (sm.Size - meanSize)
	}
	if square == 0 {
		return Line{Intercept: meanValue}
	}
	slope := cross / square
	if slope < 0 {
		return Line{Intercept: meanValue}
	}
	return Line{Intercept: meanValue - slope*meanSize, Slope: slope}
}

// Measured is the contents of a file of measurements.
type Measured struct {
	// Machine describes the machine on which they were made.
	Machine string
	Series  []Series
}

// Read reads a file of measurements.
func Read(path string) (Measured, error) {
	var ms Measured
	raw, err := os.ReadFile(path)
	if err != nil {
		return ms, BadFile.Wrap(err, "slope: %s cannot be read; create it with sailbench slopes", path)
	}
	if err := json.Unmarshal(raw, &ms); err != nil {
		return ms, BadFile.Wrap(err, "slope: %s is not a file of measurements; create it with sailbench slopes", path)
	}
	return ms, nil
}

// Put replaces the series of the same name or appends it.
func (ms *Measured) Put(sr Series) {
	for i := range ms.Series {
		if ms.Series[i].Name == sr.Name {
			ms.Series[i] = sr
			return
		}
	}
	ms.Series = append(ms.Series, sr)
}

// Find returns the series with the name.
func (ms *Measured) Find(name string) (Series, error) {
	for _, sr := range ms.Series {
		if sr.Name == name {
			return sr, nil
		}
	}
	return Series{}, BadFile.New("slope: no series %q; measure it with sailbench slopes", name)
}

// Write writes the measurements to a file.
func (ms *Measured) Write(path string) error {
	raw, err := json.MarshalIndent(ms, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, append(raw, '\n'), 0o644); err != nil {
		return fmt.Errorf("slope: %s cannot be written: %w", path, err)
	}
	return nil
}
