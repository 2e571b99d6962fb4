package steer_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/conns"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// connWorld simulates the connections of a fleet as relay.Instance keeps them.
type connWorld struct {
	fl     *fleet
	tables map[*fleetNode]*conns.Table
	// idle holds the idle connections, the last one that became idle at the end.
	idle map[*fleetNode]map[string][]*conns.Conn
	// opened counts the connections that were opened, sent the attempts.
	opened, sent int
	// open counts the connections to each address, and most is the highest count.
	open map[string]int
	most int
}

// stated is the header by which replicas state their timeout of idle connections.
var stated = http.Header{"Keep-Alive": {"timeout=5"}}

func watchConnections(fl *fleet) *connWorld {
	cw := &connWorld{fl: fl, tables: map[*fleetNode]*conns.Table{}, idle: map[*fleetNode]map[string][]*conns.Conn{}, open: map[string]int{}}
	for _, node := range fl.nodes {
		cw.tables[node], cw.idle[node] = conns.New(), map[string][]*conns.Conn{}
	}
	fl.connect = cw.connect
	return cw
}

func (cw *connWorld) connect(node *fleetNode, eff steer.Send, bound steer.ConnectionBound) func() {
	cw.sent++
	conn, use := cw.take(node, eff)
	cw.tables[node].Answered(conn, stated)
	cw.report(node)
	return func() {
		tbl, address := cw.tables[node], eff.Replica.Address
		tbl.Returned(conn, use, cw.fl.now)
		cw.idle[node][address] = append(cw.idle[node][address], conn)
		if bound.Bounded {
			for excess := tbl.Excess(address, bound.MaxIdle); excess != nil; excess = tbl.Excess(address, bound.MaxIdle) {
				cw.close(node, address, excess)
			}
		}
		if left, ok := tbl.Expiry(conn, cw.fl.now); ok {
			cw.fl.after(left, func() {
				if left, ok := tbl.Expiry(conn, cw.fl.now); ok && left == 0 {
					cw.close(node, address, conn)
					cw.report(node)
				}
			})
		}
		cw.report(node)
	}
}

// take returns the connection that the attempt uses.
func (cw *connWorld) take(node *fleetNode, eff steer.Send) (*conns.Conn, int) {
	tbl, address := cw.tables[node], eff.Replica.Address
	for len(cw.idle[node][address]) > 0 {
		list := cw.idle[node][address]
		conn := list[len(list)-1]
		use, ok := tbl.Taken(conn, cw.fl.now, eff.NewConnection)
		if ok {
			cw.idle[node][address] = list[:len(list)-1]
			return conn, use
		}
		cw.close(node, address, conn)
	}
	cw.opened++
	cw.open[address]++
	cw.most = max(cw.most, cw.open[address])
	conn := tbl.Opened(address, cw.fl.now)
	use, _ := tbl.Taken(conn, cw.fl.now, false)
	return conn, use
}

func (cw *connWorld) close(node *fleetNode, address string, conn *conns.Conn) {
	cw.tables[node].Closed(conn)
	cw.open[address]--
	list := cw.idle[node][address]
	for i := range list {
		if list[i] == conn {
			cw.idle[node][address] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
}

func (cw *connWorld) report(node *fleetNode) {
	if changed := cw.tables[node].Changes(); changed != nil {
		cw.fl.reduce(node, steer.IdleConnections{Changed: changed})
	}
}

// onceRoute is a route whose requests may run only once.
var onceRoute = decl.Route{
	Name: "once", Shares: []decl.Share{{Service: "board", Weight: 1}}, Repeats: decl.RetryNone,
	Timeout: seconds(2), Goal: decl.Duration(300 * time.Millisecond), Attempts: 1,
}

// quietLoad is a low load of an instance, in requests a second.
var quietLoad = map[*decl.Route]float64{&short: 1.2, &lookup: 0.4, &onceRoute: 0.21}

func TestConnectionsOfAFleetStayBelowTheBound(t *testing.T) {
	// Many instances send few requests each. What they keep must not add up to more connections than a replica accepts, also when all
	// instances have just started. The preference for idle connections must save some of the new ones.
	const connections = 30
	opened := map[float64]int{}
	for _, cost := range []float64{0, steer.DefaultTuning().NewConnectionCost} {
		tuning := steer.DefaultTuning()
		tuning.NewConnectionCost = cost
		fl := newTunedFleet(1, 24, 24*3/4, connections, tuning)
		cw := watchConnections(fl)
		fl.load(quietLoad, 15*time.Second)
		t.Logf("NewConnectionCost %v: %d connections opened for %d requests, %d at most to one replica", cost, cw.opened, cw.sent, cw.most)
		assert.Assert(t, cw.most <= connections, "%d", cw.most)
		opened[cost] = 1000 * cw.opened / cw.sent
	}
	assert.Assert(t, opened[steer.DefaultTuning().NewConnectionCost] < opened[0], "%v", opened)
}
