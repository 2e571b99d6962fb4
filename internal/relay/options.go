package relay

import (
	"net"
	"time"

	"dandelionsail.example/dandelionsail/internal/memory"
	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/ports"
	"dandelionsail.example/dandelionsail/internal/steer"
)

// Options are the settings of one instance.
type Options struct {
	Name          string            `long:"name" env:"DANDELIONSAIL_NAME" description:"name of this instance, unique in the fleet" required:"yes"`
	FailureDomain string            `long:"failure-domain" env:"DANDELIONSAIL_FAILURE_DOMAIN" description:"failure domain of this instance" required:"yes"`
	Listen        string            `long:"listen" env:"DANDELIONSAIL_LISTEN" description:"address for callers, host:port" required:"yes"`
	ReadyListen   string            `long:"ready-listen" env:"DANDELIONSAIL_READY_LISTEN" description:"address of the readiness probe for the load balancer, host:port" required:"yes"`
	PeerListen    string            `long:"peer-listen" env:"DANDELIONSAIL_PEER_LISTEN" description:"address for the other instances, UDP for gossip and TCP for the configuration, host:port" required:"yes"`
	MetricsListen string            `long:"metrics-listen" env:"DANDELIONSAIL_METRICS_LISTEN" description:"address for metrics, host:port; empty serves none"`
	Store         string            `long:"store" env:"DANDELIONSAIL_STORE" description:"address of the platform's store, host:port" required:"yes"`
	Grace         time.Duration     `long:"grace" env:"DANDELIONSAIL_GRACE" description:"time from the termination signal until the process is killed" default:"8s"`
	DrainNotice   time.Duration     `long:"drain-notice" env:"DANDELIONSAIL_DRAIN_NOTICE" description:"time for the load balancer to notice that this instance is not ready; it probes every second and acts after two failed probes" default:"2500ms"`
	TokenLife     time.Duration     `long:"token-life" env:"DANDELIONSAIL_TOKEN_LIFE" description:"how long a token may be used after the store last confirmed the configuration that holds it" default:"5s"`
	ConfigLag     time.Duration     `long:"config-lag" env:"DANDELIONSAIL_CONFIG_LAG" description:"maximum time until a change in the store takes effect in this instance" default:"2s"`
	MissingTime   time.Duration     `long:"missing-time" env:"DANDELIONSAIL_MISSING_TIME" description:"how long a replica stays in use if it is missing from the store's list after an outage" default:"2s"`
	BudgetRatio   float64           `long:"budget-ratio" env:"DANDELIONSAIL_BUDGET_RATIO" description:"retries per request that all instances together may send" default:"0.2"`
	BudgetSlack   float64           `long:"budget-slack" env:"DANDELIONSAIL_BUDGET_SLACK" description:"retries that they may send in a window in addition to the ratio" default:"20"`
	BudgetWindow  time.Duration     `long:"budget-window" env:"DANDELIONSAIL_BUDGET_WINDOW" description:"window of the retry budget" default:"10s"`
	MaxBody       int64             `long:"max-body" env:"DANDELIONSAIL_MAX_BODY" description:"maximum size of a request body in bytes unless the configuration sets one" default:"8388608"`
	Memory        memory.Limit      `long:"memory" env:"DANDELIONSAIL_MEMORY" description:"memory in MB that this process may use; what it holds for others is bounded by it; machine takes the memory of the machine, 0 sets no bound" default:"256"`
	Descriptors   ports.Descriptors `long:"descriptors" env:"DANDELIONSAIL_DESCRIPTORS" description:"file descriptors that this process may use; the connections to it are bounded by them; 0 takes the system's limit" default:"0"`
	LogLines      int               `long:"log-lines" env:"DANDELIONSAIL_LOG_LINES" description:"maximum number of log lines per second; further lines are dropped and counted" default:"400"`
	Tuning        steer.Tuning      `long:"tuning" env:"DANDELIONSAIL_TUNING" description:"JSON object of policy parameters that differ from their defaults, such as {\"MaxEngines\":4}"`
	// Dial opens connections to replicas. It is nil outside tests, which cut the instance off from its replicas with it.
	Dial notice.Dialer `no-flag:"true" json:"-"`
	Seed uint64        `long:"seed" env:"DANDELIONSAIL_SEED" description:"seed of random choices; 0 derives it from the name" default:"0"`
}

// Check validates the settings. It returns a BadOption error that names the flag, its value and the allowed values.
func (opts *Options) Check() error {
	addresses := map[string]string{
		"listen": opts.Listen, "ready-listen": opts.ReadyListen, "peer-listen": opts.PeerListen, "store": opts.Store,
	}
	if opts.MetricsListen != "" {
		addresses["metrics-listen"] = opts.MetricsListen
	}
	for flag, address := range addresses {
		host, _, err := net.SplitHostPort(address)
		if err != nil || net.ParseIP(host) == nil {
			return BadOption.New("relay: --%s is %q; give an IP address and a port, such as 127.0.0.1:8080", flag, address)
		}
	}
	periods := map[string]time.Duration{
		"grace": opts.Grace, "token-life": opts.TokenLife, "config-lag": opts.ConfigLag, "budget-window": opts.BudgetWindow,
	}
	for flag, period := range periods {
		if period < 100*time.Millisecond {
			return BadOption.New("relay: --%s is %s; give 100ms or more", flag, period)
		}
	}
	if opts.DrainNotice < 0 || opts.DrainNotice >= opts.Grace {
		return BadOption.New("relay: --drain-notice is %s; give 0s or more, and less than --grace, which is %s", opts.DrainNotice, opts.Grace)
	}
	if opts.BudgetRatio < 0 || opts.BudgetSlack < 0 {
		return BadOption.New("relay: --budget-ratio is %v and --budget-slack %v; give 0 or more", opts.BudgetRatio, opts.BudgetSlack)
	}
	if opts.LogLines < 1 {
		return BadOption.New("relay: --log-lines is %d; give 1 or more", opts.LogLines)
	}
	if opts.MaxBody < 1024 {
		return BadOption.New("relay: --max-body is %d; give 1024 or more", opts.MaxBody)
	}
	return nil
}
