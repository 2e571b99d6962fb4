package bench

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"dandelionsail.example/dandelionsail/internal/load"
	"dandelionsail.example/dandelionsail/internal/tool"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

type loadCommand struct {
	Scenario    string        `long:"scenario" description:"scenario file" required:"yes"`
	Addresses   []string      `long:"address" description:"address of an entry instance; repeat the flag for several" required:"yes"`
	Token       string        `long:"token" env:"SAILBENCH_TOKEN" description:"bearer token of all organisations; empty uses token-of-NAME"`
	Seed        uint64        `long:"seed" description:"seed of the request plan" default:"1"`
	Time        time.Duration `long:"time" description:"duration of the run; 0 uses the scenario's"`
	Utilisation float64       `long:"utilisation" description:"offered load as a share of capacity; 0 uses the scenario's"`
	NoLong      bool          `long:"no-long" description:"leave out the long prompts"`
}

// Execute implements flags.Commander.
func (cmd *loadCommand) Execute(_ []string) error {
	ctx, stop := tool.Context()
	defer stop()
	sc, err := load.ReadScenario(cmd.Scenario)
	if err != nil {
		return tool.Usage(err)
	}
	if cmd.Time < 0 || cmd.Utilisation < 0 {
		return tool.Usage(fmt.Errorf("bench: --time and --utilisation must not be below 0"))
	}
	overrideDuration(sc, cmd.Time)
	if cmd.Utilisation > 0 {
		sc.Mix.Utilisation = cmd.Utilisation
	}
	runner := &load.Runner{Scenario: sc, Balancer: &load.Balancer{}, Tokens: map[string]string{}, HTTP: load.NewClient()}
	defer runner.HTTP.CloseIdleConnections()
	runner.Balancer.Set(cmd.Addresses)
	for _, org := range sc.Organisations {
		runner.Tokens[org.Name] = token(org.Name)
		if cmd.Token != "" {
			runner.Tokens[org.Name] = cmd.Token
		}
	}
	sm := load.Summarise(runner.Run(ctx, load.Plan(sc, cmd.Seed, !cmd.NoLong)))
	return writeIndented(figuresOf(sm))
}

// overrideDuration sets the duration of a run in real time. 0 keeps the scenario's.
func overrideDuration(sc *load.Scenario, period time.Duration) {
	if period > 0 {
		sc.Mix.Duration = decl.Duration(float64(period) * sc.Scale)
	}
}

// summaryFigures is the JSON form of a load.Summary.
type summaryFigures struct {
	Classes map[string]load.Figures
	// Organisations covers all completions of each organisation, unlike the Organisations of load.Summary, which covers only
	// the short prompts.
	Organisations map[string]load.Figures
	// LateSends counts the requests that were sent more than 10 ms after their planned time.
	LateSends int64
	// LateMax is the longest delay of a send after its planned time, in milliseconds.
	LateMax float64
	// Examples has an error text for some of the failed requests, by outcome.
	Examples map[load.Outcome]string
}

func figuresOf(sm *load.Summary) summaryFigures {
	out := summaryFigures{
		Classes:       map[string]load.Figures{},
		Organisations: map[string]load.Figures{},
		LateSends:     sm.LateSends,
		LateMax:       load.Milliseconds(sm.LateMax),
		Examples:      sm.Examples,
	}
	for name, gr := range sm.Classes {
		out.Classes[name] = gr.Figures()
	}
	for name, gr := range sm.Whole {
		out.Organisations[name] = gr.Figures()
	}
	return out
}

func writeIndented(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
