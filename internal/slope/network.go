package slope

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"dandelionsail.example/dandelionsail/internal/plat"
	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/internal/upstr"
)

const networkCommand = "sailbench slopes network"

// reportReads is the number of load reports that are read for one sample.
const reportReads = 200

var listSizes = []float64{30, 300, 1000, 3000}

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (cl *countingListener) Accept() (net.Conn, error) {
	conn, err := cl.Listener.Accept()
	return &countingConn{Conn: conn, bytes: &cl.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (cc *countingConn) Read(buf []byte) (int, error) {
	n, err := cc.Conn.Read(buf)
	cc.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (cc *countingConn) Write(buf []byte) (int, error) {
	n, err := cc.Conn.Write(buf)
	cc.bytes.Add(int64(n))
	return n, err
}

// serveCounted serves the handler until the returned function is called, which returns the server's error.
func serveCounted(handler http.Handler) (*countingListener, func() error, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	counted := &countingListener{Listener: listener}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(counted) }()
	stop := func() error {
		_ = server.Close()
		return <-ended
	}
	return counted, stop, nil
}

// MeasureNetwork measures the bytes that a load report and a read of the whole instance list take as TCP payload.
func MeasureNetwork(ctx context.Context) ([]Series, error) {
	report, err := reportBytes(ctx)
	if err != nil {
		return nil, err
	}
	list := Series{Name: ListBytes, Unit: "B", Variable: "Replicas", Command: networkCommand}
	for _, size := range listSizes {
		value, err := listBytes(ctx, int(size))
		if err != nil {
			return nil, err
		}
		list.Samples = append(list.Samples, Sample{Size: size, Value: value})
	}
	return []Series{list, {
		Name: ReportBytes, Unit: "B", Variable: "Reports", Command: networkCommand, Samples: []Sample{{Size: 1, Value: report}},
	}}, nil
}

func reportBytes(ctx context.Context) (float64, error) {
	engine := stand.NewEngine(stand.DefaultEngineOptions())
	counted, stop, err := serveCounted(engine.Handler())
	if err != nil {
		return 0, err
	}
	defer func() { _ = stop() }()
	client := upstr.New()
	defer client.Close()
	for range reportReads {
		if _, err := client.Load(ctx, counted.Addr().String()); err != nil {
			return 0, err
		}
	}
	return float64(counted.bytes.Load()) / reportReads, nil
}

func listBytes(ctx context.Context, replicas int) (float64, error) {
	platform := stand.NewPlatform(0)
	for i := range replicas {
		platform.Put(plat.Entry{
			Name: fmt.Sprintf("model-%02d-%05d", i%modelCount, i), Service: serviceName(i),
			Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255), FailureDomain: "south-a", State: plat.StateLive,
		})
	}
	counted, stop, err := serveCounted(platform.Handler())
	if err != nil {
		return 0, err
	}
	defer func() { _ = stop() }()
	client := plat.New(counted.Addr().String())
	defer client.Close()
	if _, err := client.List(ctx); err != nil {
		return 0, err
	}
	return float64(counted.bytes.Load()), nil
}
