package bench

import (
	"fmt"
	"os"
	"runtime"

	"github.com/jessevdk/go-flags"

	"dandelionsail.example/dandelionsail/internal/slope"
	"dandelionsail.example/dandelionsail/internal/tool"
)

func addSlopes(parser *flags.Parser) {
	slopes, err := parser.AddCommand("slopes", "Measure how costs grow with the size of a deployment, for docs/CAPACITY.md", "", &struct{}{})
	if err != nil {
		panic(err)
	}
	addCommand(slopes, "state", "Measure the reducer and the configuration in this process", &stateSlopesCommand{})
	addCommand(slopes, "store", "Count the calls of a fleet of real processes to the key-value service", &storeSlopesCommand{})
	addCommand(slopes, "fleet", "Measure what an idle instance costs in fleets of real processes", &fleetSlopesCommand{})
	addCommand(slopes, "network", "Measure the bytes of load reports and of the instance list", &networkSlopesCommand{})
	addCommand(slopes, "permits", "Measure the decisions and messages of the coordinator of a pool", &permitSlopesCommand{})
	addCommand(slopes, "table", "Write docs/CAPACITY.md from the measurements", &tableCommand{})
}

type stateSlopesCommand struct {
	Out string `long:"out" description:"file of measurements to add to" default:"docs/capacity/measured.json"`
}

// Execute implements flags.Commander.
func (cmd *stateSlopesCommand) Execute(_ []string) error {
	return addSeries(cmd.Out, slope.MeasureState(tool.Progress()))
}

type networkSlopesCommand struct {
	Out string `long:"out" description:"file of measurements to add to" default:"docs/capacity/measured.json"`
}

// Execute implements flags.Commander.
func (cmd *networkSlopesCommand) Execute(_ []string) error {
	ctx, stop := tool.Context()
	defer stop()
	series, err := slope.MeasureNetwork(ctx)
	if err != nil {
		return err
	}
	return addSeries(cmd.Out, series)
}

type permitSlopesCommand struct {
	Out string `long:"out" description:"file of measurements to add to" default:"docs/capacity/measured.json"`
}

// Execute implements flags.Commander.
func (cmd *permitSlopesCommand) Execute(_ []string) error {
	series, err := slope.MeasurePermits()
	if err != nil {
		return err
	}
	return addSeries(cmd.Out, series)
}

// addSeries puts the series into a file of measurements, which it creates if necessary, and prints the line fitted to each.
func addSeries(path string, series []slope.Series) error {
	var ms slope.Measured
	if _, err := os.Stat(path); err == nil {
		if ms, err = slope.Read(path); err != nil {
			return err
		}
	}
	ms.Machine = fmt.Sprintf("%d cores, %s, %s", runtime.NumCPU(), runtime.GOOS+"/"+runtime.GOARCH, runtime.Version())
	for _, sr := range series {
		ms.Put(sr)
		line := sr.Fit()
		fmt.Printf("%-30s %12.4g %s + %.4g per %s\n", sr.Name, line.Intercept, sr.Unit, line.Slope, sr.Variable)
	}
	return ms.Write(path)
}
