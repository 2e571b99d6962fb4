// Package slope turns measurements at sizes that one machine can hold into figures at the size aimed at.
package slope

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/joomcode/errorx"
)

var (
	// Errors groups what this package returns.
	Errors = errorx.NewNamespace("slope")
	// BadFile tells that a file of measurements cannot be used.
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
	// Command gave the samples.
	Command string
}

// Line is a value that grows evenly with the size.
type Line struct {
	Intercept float64
	Slope     float64
}

// At returns the line's value at a size, never below 0, where a line may begin.
func (ln Line) At(size float64) float64 {
	return max(0, ln.Intercept+ln.Slope*size)
}

// Fit returns the line of least squares through the samples. One sample, or samples of one size, give a flat line, and so
// do falling ones: no cost here falls with size, and noise carried to a size fourteen times as large would promise what
// nobody measured.
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

// Measured is a file of measurements.
type Measured struct {
	// Machine says what they were made on.
	Machine string
	Series  []Series
}

// Read reads a file of measurements.
func Read(path string) (Measured, error) {
	var ms Measured
	raw, err := os.ReadFile(path)
	if err != nil {
		return ms, BadFile.Wrap(err, "slope: %s cannot be read; make it with sailbench slopes", path)
	}
	if err := json.Unmarshal(raw, &ms); err != nil {
		return ms, BadFile.Wrap(err, "slope: %s is no file of measurements; make it with sailbench slopes", path)
	}
	return ms, nil
}

// Put replaces the series of the same name, or adds it.
func (ms *Measured) Put(sr Series) {
	for i := range ms.Series {
		if ms.Series[i].Name == sr.Name {
			ms.Series[i] = sr
			return
		}
	}
	ms.Series = append(ms.Series, sr)
}

// Find returns the series of the name.
func (ms *Measured) Find(name string) (Series, error) {
	for _, sr := range ms.Series {
		if sr.Name == name {
			return sr, nil
		}
	}
	return Series{}, BadFile.New("slope: no series %q; measure it with sailbench slopes", name)
}

// Write writes the file.
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
