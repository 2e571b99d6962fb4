package entry

import (
	"crypto/sha256"
	"net"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/memory"
	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/peers"
	"dandelionsail.example/dandelionsail/internal/ports"
	"dandelionsail.example/dandelionsail/internal/route"
	"dandelionsail.example/dandelionsail/internal/tasks"
)

var (
	// Errors is the namespace of the errors that this package returns.
	Errors = errorx.NewNamespace("entry")
	// BadOption means that a setting is invalid or cannot be used.
	BadOption = Errors.NewType("bad_option")
)

// Options are the settings of one entry instance.
type Options struct {
	Name          string            `long:"name" env:"DANDELIONSAIL_NAME" description:"name of this instance, unique in the fleet" required:"yes"`
	FailureDomain string            `long:"failure-domain" env:"DANDELIONSAIL_FAILURE_DOMAIN" description:"failure domain of this instance" required:"yes"`
	Listen        string            `long:"listen" env:"DANDELIONSAIL_LISTEN" description:"address for callers, host:port" default:"127.0.0.1:8080"`
	TLSCert       string            `long:"tls-cert" env:"DANDELIONSAIL_TLS_CERT" description:"file with the certificate shown to callers; without it callers speak plain HTTP; read again when it changes"`
	TLSKey        string            `long:"tls-key" env:"DANDELIONSAIL_TLS_KEY" description:"file with that certificate's private key"`
	Platform      string            `long:"platform" env:"DANDELIONSAIL_PLATFORM" description:"address of the platform's instance list, host:port" required:"yes"`
	Store         string            `long:"store" env:"DANDELIONSAIL_STORE" description:"address of the platform's key-value service, host:port" required:"yes"`
	ListPeriod    time.Duration     `long:"list-period" env:"DANDELIONSAIL_LIST_PERIOD" description:"time between reads of the instance list" default:"1s"`
	LoadPeriod    time.Duration     `long:"load-period" env:"DANDELIONSAIL_LOAD_PERIOD" description:"time between load reports of one engine" default:"500ms"`
	DrainTime     time.Duration     `long:"drain-time" env:"DANDELIONSAIL_DRAIN_TIME" description:"longest time for streams to finish at a stop" default:"10m"`
	DrainNotice   time.Duration     `long:"drain-notice" env:"DANDELIONSAIL_DRAIN_NOTICE" description:"time for the balancer to see that readiness is off" default:"3s"`
	MaxBody       int64             `long:"max-body" env:"DANDELIONSAIL_MAX_BODY" description:"longest request body in bytes" default:"8388608"`
	Memory        memory.Limit      `long:"memory" env:"DANDELIONSAIL_MEMORY" description:"memory in MB that this process may use; what it holds for others is bounded by it; machine takes the memory of the machine, 0 sets no bound" default:"machine"`
	Descriptors   ports.Descriptors `long:"descriptors" env:"DANDELIONSAIL_DESCRIPTORS" description:"file descriptors that this process may use; the connections to it are bounded by them; 0 takes the system's limit" default:"0"`
	BodyTimeout   time.Duration     `long:"body-timeout" env:"DANDELIONSAIL_BODY_TIMEOUT" description:"longest time for a caller to send its body" default:"30s"`
	MetricsListen string            `long:"metrics-listen" env:"DANDELIONSAIL_METRICS_LISTEN" description:"address for metrics and health, host:port, without authentication; empty serves none"`
	Profiling     bool              `long:"profiling" env:"DANDELIONSAIL_PROFILING" description:"serve profiles of the process at the metrics address"`
	Bootstrap     string            `long:"bootstrap-operator" env:"DANDELIONSAIL_BOOTSTRAP_OPERATOR" description:"SHA-256 digest of a token that may submit patches while there is no configuration"`
	Seed          uint64            `long:"seed" env:"DANDELIONSAIL_SEED" description:"seed of random choices; 0 takes one from the name" default:"0"`
	Policy        string            `long:"policy" env:"DANDELIONSAIL_POLICY" description:"how requests are ordered and routed: dandelionsail, or a baseline for comparison: round-robin, least-requests" default:"dandelionsail"`
	WeightLoads   int               `long:"weight-loads-per-minute" env:"DANDELIONSAIL_WEIGHT_LOADS_PER_MINUTE" description:"loads a minute that the weight store serves to the whole fleet; the same on all instances" default:"30"`
	PeerListen    string            `long:"peer-listen" env:"DANDELIONSAIL_PEER_LISTEN" description:"UDP address for the other instances, host:port" default:"127.0.0.1:8081"`
	PeerCA        string            `long:"peer-ca" env:"DANDELIONSAIL_PEER_CA" description:"file with the certificate of the authority that signed all instances' keys; read again when it changes"`
	PeerCert      string            `long:"peer-cert" env:"DANDELIONSAIL_PEER_CERT" description:"file with this instance's certificate; without it the instance runs without its peers"`
	PeerKey       string            `long:"peer-key" env:"DANDELIONSAIL_PEER_KEY" description:"file with the certificate's private key"`
	// PeerKeys take precedence over the files. The demonstration and tests generate them in memory.
	PeerKeys *peers.Keys `no-flag:"true"`
	// LogOutput is where the lines of the logger go, nil if that is unknown.
	LogOutput tasks.LogOutput `no-flag:"true"`
	// Dial opens connections to upstreams. It is nil outside tests, which cut the instance off from its upstreams with it.
	Dial notice.Dialer `no-flag:"true"`
}

// Check validates the settings. It returns a BadOption error that names the flag, its value and what is allowed.
func (opts *Options) Check() error {
	for flag, address := range map[string]string{"listen": opts.Listen, "platform": opts.Platform, "store": opts.Store} {
		if err := checkAddress(flag, address); err != nil {
			return err
		}
	}
	if opts.MetricsListen != "" {
		if err := checkAddress("metrics-listen", opts.MetricsListen); err != nil {
			return err
		}
	}
	if (opts.TLSCert == "") != (opts.TLSKey == "") {
		return BadOption.New("entry: --tls-cert is %q and --tls-key is %q; give both or neither", opts.TLSCert, opts.TLSKey)
	}
	if opts.WeightLoads < 0 {
		return BadOption.New("entry: --weight-loads-per-minute is %d; give 1 or more, or 0 for the default", opts.WeightLoads)
	}
	if opts.Profiling && opts.MetricsListen == "" {
		return BadOption.New("entry: --profiling needs --metrics-listen; give the address that serves the profiles")
	}
	if opts.Bootstrap != "" && len(opts.Bootstrap) != 2*sha256.Size {
		return BadOption.New("entry: --bootstrap-operator is %q; give the 64 hexadecimal digits of the token's SHA-256 digest", opts.Bootstrap)
	}
	if opts.Name == "" {
		return BadOption.New("entry: --name is empty; give the instance a name of its own")
	}
	if opts.FailureDomain == "" {
		return BadOption.New("entry: --failure-domain is empty; give the name of the instance's failure domain")
	}
	periods := map[string]time.Duration{
		"list-period": opts.ListPeriod, "load-period": opts.LoadPeriod, "drain-time": opts.DrainTime, "body-timeout": opts.BodyTimeout,
	}
	for flag, period := range periods {
		if period < 10*time.Millisecond {
			return BadOption.New("entry: --%s is %s; give 10ms or more", flag, period)
		}
	}
	if opts.DrainNotice < 0 {
		return BadOption.New("entry: --drain-notice is %s; give 0s or more", opts.DrainNotice)
	}
	if _, ok := opts.policy(); !ok {
		return BadOption.New("entry: --policy is %q; give %s, %s or %s", opts.Policy, route.NameLowestCost, route.NameRoundRobin, route.NameLeastRequests)
	}
	if err := opts.checkPeers(); err != nil {
		return err
	}
	if opts.MaxBody < 1024 {
		return BadOption.New("entry: --max-body is %d; give 1024 or more", opts.MaxBody)
	}
	return nil
}

// policy returns the configured routing policy, or the default if none is configured. It reports whether the policy exists.
func (opts *Options) policy() (route.Policy, bool) {
	if opts.Policy == "" {
		return route.LowestCost{}, true
	}
	return route.ParsePolicy(opts.Policy)
}

func (opts *Options) checkPeers() error {
	given := 0
	for _, path := range []string{opts.PeerCA, opts.PeerCert, opts.PeerKey} {
		if path != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		return BadOption.New("entry: --peer-ca, --peer-cert and --peer-key go together; give all three or none")
	}
	if given == 0 && opts.PeerKeys == nil {
		return nil
	}
	return checkAddress("peer-listen", opts.PeerListen)
}

func checkAddress(flag, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return BadOption.New("entry: --%s is %q; give an IP address and a port, such as 127.0.0.1:8080", flag, address)
	}
	if net.ParseIP(host) == nil {
		return BadOption.New("entry: --%s is %q; give the host as an IP address", flag, address)
	}
	return nil
}
