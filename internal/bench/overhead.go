package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dandelionsail.example/dandelionsail/internal/body"
	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/fleet"
	"dandelionsail.example/dandelionsail/internal/plat"
	"dandelionsail.example/dandelionsail/internal/tool"
	"dandelionsail.example/dandelionsail/internal/upstr"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

const (
	overheadToken = "overhead"
	// latencyTokens is the number of tokens that a request of the latency measurement asks for.
	latencyTokens = 20
	// maxLatencyMicros is the longest time that the histograms can record, in microseconds.
	maxLatencyMicros = 60_000_000
	// histogramDigits is the number of significant digits of the histograms.
	histogramDigits = 3
)

type overheadCommand struct {
	Rate    float64       `long:"rate" description:"requests per second of the latency measurement, sent to the engine and to the instance each" default:"200"`
	Time    time.Duration `long:"time" description:"duration of each measurement" default:"10s"`
	Prompt  int           `long:"prompt" description:"length of a prompt in tokens" default:"1000"`
	Streams int           `long:"streams" description:"concurrent streams of the throughput measurement" default:"64"`
	Tokens  int           `long:"tokens" description:"tokens of each stream of the throughput measurement" default:"5000"`
	JSON    string        `long:"json" description:"file to write the figures to as JSON; empty writes none"`
}

// overheadReport holds the measurements of the command.
type overheadReport struct {
	// Direct and Through hold the times to the first token in microseconds: Direct those of requests sent straight to the
	// engine, Through those of requests sent through the entry instance.
	Direct, Through struct{ P50, P99, Requests int64 }
	// AddedP50 is Through.P50 less Direct.P50, in microseconds.
	AddedP50 int64
	// AddedP99 is Through.P99 less Direct.P99, in microseconds.
	AddedP99 int64
	// DirectTokens is the throughput of all streams from the engine, in tokens per second.
	DirectTokens float64
	// ThroughTokens is the throughput of all streams through the entry instance, in tokens per second.
	ThroughTokens float64
	// Cores is the mean CPU usage of the entry instance during the throughput measurement, in cores.
	Cores float64
}

// Execute implements flags.Commander.
func (cmd *overheadCommand) Execute(_ []string) error {
	if cmd.Rate <= 0 || cmd.Time <= 0 || cmd.Prompt <= 0 || cmd.Streams <= 0 || cmd.Tokens <= 0 {
		return tool.Usage(errors.New("bench: --rate, --time, --prompt, --streams and --tokens must be above 0"))
	}
	ctx, stop := tool.Context()
	defer stop()
	server := &http.Server{Handler: http.HandlerFunc(serveTokens), ReadHeaderTimeout: stopTime}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	defer func() {
		_ = server.Close()
		<-served
	}()
	fl := &fleet.Fleet{}
	defer fl.Close()
	inst, err := startOverhead(ctx, fl, listener.Addr().String())
	if err != nil {
		return err
	}
	rp := &overheadReport{}
	direct, through := newOverheadClient(listener.Addr().String()), newOverheadClient(inst.Address)
	cmd.latency(ctx, rp, direct, through)
	rp.DirectTokens = cmd.throughput(ctx, direct)
	before, err := processorTime(inst.ProcessID())
	if err != nil {
		return err
	}
	began := time.Now()
	rp.ThroughTokens = cmd.throughput(ctx, through)
	after, err := processorTime(inst.ProcessID())
	if err != nil {
		return err
	}
	rp.Cores = (after - before).Seconds() / time.Since(began).Seconds()
	return cmd.write(rp)
}

// serveTokens handles a completion like an engine that answers immediately and streams as fast as possible.
func serveTokens(w http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	bd, err := body.Scan(raw)
	if err != nil {
		http.Error(w, "not a completion", http.StatusNotFound)
		return
	}
	id := req.Header.Get(upstr.HeaderRequest)
	out := bufio.NewWriterSize(w, 16<<10)
	var line []byte
	for token := int64(0); token <= bd.MaxTokens; token++ {
		line = append(append(line[:0], "id: "...), id...)
		line = strconv.AppendInt(append(line, '/'), token, 10)
		if token == bd.MaxTokens {
			line = append(line, "\ndata: [DONE]\n\n"...)
		} else {
			line = append(line, "\ndata: {\"choices\":[{\"index\":0,\"text\":\"1234abcd.17 \",\"finish_reason\":null}]}\n\n"...)
		}
		if _, err := out.Write(line); err != nil {
			return
		}
	}
	_ = out.Flush()
}

// startOverhead starts an entry instance in front of the engine at the address.
func startOverhead(ctx context.Context, fl *fleet.Fleet, engine string) (*fleet.Process, error) {
	if err := fl.StartPlatform("--list-lag", "0s"); err != nil {
		return nil, err
	}
	cfg := decl.Config{
		Services: map[string]decl.Service{
			"lyric": {Kind: decl.KindModel, Models: []decl.Model{{Name: "lyric"}}, MemoryTokens: 4_000_000, MaxRunning: 4096, PrefillTokensPerSecond: 1e9, DecodeTokensPerSecond: 1e6},
		},
		Organisations: map[string]decl.Organisation{"bench": {TokenDigests: []string{decl.TokenDigest(overheadToken)}}},
	}
	if err := conf.Seed(ctx, fl.Platform.Address, &cfg); err != nil {
		return nil, err
	}
	err := plat.Put(fl.Platform.Address, plat.Entry{Name: "lyric-0", Service: "lyric", Address: engine, FailureDomain: "a", State: plat.StateLive})
	if err != nil {
		return nil, err
	}
	inst, err := fl.StartEntry("entry-0", "a")
	if err != nil {
		return nil, err
	}
	return inst, fleet.WaitReady(ctx, inst.Address)
}

// overheadClient sends requests to one address, either the engine's or the entry instance's.
type overheadClient struct {
	address string
	http    *http.Client
}

func newOverheadClient(address string) *overheadClient {
	return &overheadClient{address: address, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, ReadBufferSize: 64 << 10}}}
}

// dataField begins each line of a stream that carries a token.
var dataField = []byte("data: {")

// send sends a request and reads the whole answer. It returns the time to the first token and the number of tokens.
func (oc *overheadClient) send(ctx context.Context, raw []byte) (first time.Duration, tokens int64, err error) {
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+oc.address+"/v1/completions", bytes.NewReader(raw))
	if err != nil {
		return 0, 0, err
	}
	req.Header.Set("Authorization", "Bearer "+overheadToken)
	resp, err := oc.http.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewReaderSize(resp.Body, 64<<10)
	for {
		line, err := lines.ReadSlice('\n')
		if err == io.EOF {
			return first, tokens, nil
		}
		if err != nil {
			return first, tokens, err
		}
		if !bytes.HasPrefix(line, dataField) {
			continue
		}
		if tokens == 0 {
			first = time.Since(began)
		}
		tokens++
	}
}

func (cmd *overheadCommand) body(tokens int) []byte {
	prompt := bytes.Repeat([]byte("lorem ipsum dolor "), cmd.Prompt*body.BytesPerToken/18+1)
	return fmt.Appendf(nil, `{"model":"lyric","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
}

// latency measures the time to the first token. It sends with both clients alternately, with each at the configured rate,
// without waiting for earlier answers (open loop).
func (cmd *overheadCommand) latency(ctx context.Context, rp *overheadReport, direct, through *overheadClient) {
	raw := cmd.body(latencyTokens)
	var mu sync.Mutex
	times := map[*overheadClient]*hdrhistogram.Histogram{
		direct:  hdrhistogram.New(1, maxLatencyMicros, histogramDigits),
		through: hdrhistogram.New(1, maxLatencyMicros, histogramDigits),
	}
	var group sync.WaitGroup
	began := time.Now()
	for number := 0; time.Since(began) < cmd.Time && ctx.Err() == nil; number++ {
		time.Sleep(time.Until(began.Add(time.Duration(float64(number) / (2 * cmd.Rate) * float64(time.Second)))))
		side := direct
		if number%2 == 1 {
			side = through
		}
		group.Go(func() {
			first, _, err := side.send(ctx, raw)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			_ = times[side].RecordValue(first.Microseconds())
		})
	}
	group.Wait()
	rp.Direct.P50, rp.Direct.P99, rp.Direct.Requests = quantiles(times[direct])
	rp.Through.P50, rp.Through.P99, rp.Through.Requests = quantiles(times[through])
	rp.AddedP50 = rp.Through.P50 - rp.Direct.P50
	rp.AddedP99 = rp.Through.P99 - rp.Direct.P99
}

func quantiles(hist *hdrhistogram.Histogram) (p50, p99, count int64) {
	return hist.ValueAtQuantile(50), hist.ValueAtQuantile(99), hist.TotalCount()
}

// throughput keeps the configured number of streams busy and returns the tokens per second.
func (cmd *overheadCommand) throughput(ctx context.Context, side *overheadClient) float64 {
	raw := cmd.body(cmd.Tokens)
	counts := make(chan int64, cmd.Streams)
	began := time.Now()
	for range cmd.Streams {
		go func() {
			var count int64
			for time.Since(began) < cmd.Time && ctx.Err() == nil {
				_, tokens, _ := side.send(ctx, raw)
				count += tokens
			}
			counts <- count
		}()
	}
	var all int64
	for range cmd.Streams {
		all += <-counts
	}
	return float64(all) / time.Since(began).Seconds()
}

func (cmd *overheadCommand) write(rp *overheadReport) error {
	fmt.Printf("%-22s %10s %10s %10s\n", "", "direct", "through", "added")
	fmt.Printf("%-22s %8dus %8dus %8dus\n", "first token, p50", rp.Direct.P50, rp.Through.P50, rp.AddedP50)
	fmt.Printf("%-22s %8dus %8dus %8dus\n", "first token, p99", rp.Direct.P99, rp.Through.P99, rp.AddedP99)
	fmt.Printf("%-22s %10d %10d\n", "requests", rp.Direct.Requests, rp.Through.Requests)
	fmt.Printf("%-22s %10.0f %10.0f\n", "tokens a second", rp.DirectTokens, rp.ThroughTokens)
	fmt.Printf("%-22s %10s %10.2f\n", "cores of the instance", "", rp.Cores)
	if cmd.JSON == "" {
		return nil
	}
	raw, err := json.MarshalIndent(rp, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(cmd.JSON, append(raw, '\n'), 0o644)
}
