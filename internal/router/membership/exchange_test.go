package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	maxBytesPerSecond = 26_000 // control traffic sent by one router
	maxCorePercent    = 4.6    // CPU time of one router for exchanges
)

// fleetShape describes a fleet: domains holds the number of routers in each
// failure domain, by region. Each router owns the given number of upstreams, in
// pools picked at random from the given number of pools.
type fleetShape struct {
	domains          [][]int
	upstreams, pools int
}

var fleetShapes = []struct {
	name  string
	shape fleetShape
}{
	{"9", fleetShape{[][]int{{3, 3, 3}}, 2, 2}},
	{"27", fleetShape{[][]int{{9, 9, 9}}, 6, 9}},
	{"245", fleetShape{[][]int{{98, 98, 49}}, 12, 9}},
	{"980", fleetShape{[][]int{{98, 98, 49}, {98, 98, 49}, {98, 98, 49}, {98, 98, 49}}, 12, 9}},
}

// fleet runs the exchanges of all routers of a fleet in one process.
type fleet struct {
	rand           *rand.Rand
	now            time.Time
	ticks          int
	peers          []Peer
	members        []*Members
	ownedPools     [][]string // pools of each router's upstreams
	indexByAddress map[string]int
	loads          [][]int // of the same upstreams, random walks
	totalLoad      map[string]int

	exchanges, requestBytes, responseBytes int
	elapsed                                time.Duration

	idle bool // no load, and no confirmation by the store
}

func newFleet(s fleetShape, store bool) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(1, 2)), now: epoch, indexByAddress: map[string]int{}}
	var list []Peer
	for g, region := range s.domains {
		for d, n := range region {
			for i := range n {
				list = append(list, Peer{
					ID: fmt.Sprintf("dom-%d%c-%02d", g, 'a'+d, i), Address: fmt.Sprintf("10.%d.%d.%d:9001", g, d, i+100),
					FailureDomain: fmt.Sprintf("dom-%d%c", g, 'a'+d), Region: fmt.Sprintf("reg-%d", g),
				})
			}
		}
	}
	f.peers = list
	for i, p := range list {
		m := New(Self{ID: p.ID, BootID: fmt.Sprintf("%08x", uint32(f.rand.Uint64())), Address: p.Address, FailureDomain: p.FailureDomain, Region: p.Region})
		m.SetState(rpc.RouterState_ROUTER_STATE_READY)
		m.SetHostList(f.now, list)
		m.SetStoreReachable(f.now, store)
		f.members = append(f.members, m)
		f.indexByAddress[p.Address] = i
		var pools []string
		for range s.upstreams {
			pools = append(pools, fmt.Sprintf("%s/drafter/model-%d", p.Region, f.rand.IntN(s.pools)))
		}
		f.ownedPools = append(f.ownedPools, pools)
		f.loads = append(f.loads, slices.Repeat([]int{30}, s.upstreams))
	}
	return f
}

// tick runs one round of exchanges of all routers.
func (f *fleet) tick(store bool) {
	f.now = f.now.Add(ExchangeInterval)
	f.ticks++
	f.totalLoad = map[string]int{}
	for i, m := range f.members {
		start := time.Now()
		digests := map[string]*rpc.Digest{}
		for u, pool := range f.ownedPools[i] {
			f.loads[i][u] = max(0, f.loads[i][u]+f.rand.IntN(7)-3)
			if f.idle {
				f.loads[i][u] = 0
			}
			f.totalLoad[pool] += f.loads[i][u]
			if digests[pool] == nil {
				digests[pool] = &rpc.Digest{Pool: pool}
			}
			digests[pool].Load += uint32(f.loads[i][u])
			digests[pool].Receiving++
		}
		var own []*rpc.Digest
		for _, d := range digests {
			own = append(own, d)
		}
		if f.ticks%4 == i%4 {
			m.SetHostList(f.now, f.peers)
		}
		var confirmed time.Time
		if store && !f.idle {
			confirmed = f.now.Add(-700 * time.Millisecond)
		}
		m.SetConfig(f.now, 4711, confirmed)
		m.SetDigests(f.now, own)
		sent := f.now
		full := m.NewRequest(sent, !store)
		request, _ := proto.Marshal(full)
		compact, _ := proto.Marshal(WithoutIdentity(full))
		for _, t := range m.Targets(sent) {
			request := request
			if m.KnowsIdentity(t.ID) {
				request = compact
			}
			f.exchange(m, f.members[f.indexByAddress[t.Address]], sent, t.Address, request)
		}
		f.elapsed += time.Since(start)
	}
}

// exchange encodes and decodes both messages as the transport does.
func (f *fleet) exchange(m, to *Members, sent time.Time, address string, request []byte) {
	in, out := &rpc.ExchangeRequest{}, &rpc.ExchangeResponse{}
	if err := proto.Unmarshal(request, in); err != nil {
		panic(err)
	}
	received := to.HandleRequest(f.now, in)
	if received == nil {
		m.ExchangeFailed(to.self.ID)
		return
	}
	response, err := proto.Marshal(received)
	if err != nil {
		panic(err)
	}
	if err := proto.Unmarshal(response, out); err != nil {
		panic(err)
	}
	m.HandleResponse(sent, f.now, address, out)
	f.exchanges++
	f.requestBytes += len(request)
	f.responseBytes += len(response)
}

// observedMeanLoad returns the mean load per upstream that the routers see in
// their first pool, in percent of the actual mean.
func (f *fleet) observedMeanLoad() float64 {
	upstreams := map[string]int{}
	for _, pools := range f.ownedPools {
		for _, pool := range pools {
			upstreams[pool]++
		}
	}
	sum := 0.0
	for i, m := range f.members {
		pool := f.ownedPools[i][0]
		total, receiving := m.PoolLoad(f.now, pool)
		sum += float64(total) / float64(receiving) * float64(upstreams[pool]) / float64(f.totalLoad[pool])
	}
	return sum / float64(len(f.members)) * 100
}

// health returns the percentage of routers that are fresh, the percentage
// covered by hold-off promises (all while the store is reachable), and the mean
// percentage of its own domain's routers that each router sees as live.
func (f *fleet) health(store bool) (fresh, covered, live float64) {
	size := map[string]int{}
	for _, p := range f.peers {
		size[p.FailureDomain]++
	}
	percentPerMember := 100 / float64(len(f.members))
	for i, m := range f.members {
		if m.Fresh(f.now) {
			fresh += percentPerMember
		}
		if store || m.HeldOff(f.now) {
			covered += percentPerMember
		}
		domain := f.peers[i].FailureDomain
		for _, p := range m.Live(f.now) {
			if p.FailureDomain == domain {
				live += percentPerMember / float64(size[domain])
			}
		}
	}
	return fresh, covered, live
}

func (f *fleet) resetCounters() { f.exchanges, f.requestBytes, f.responseBytes, f.elapsed = 0, 0, 0, 0 }

// countingListener counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

type exchangeServer struct{ rpc.Router }

func (exchangeServer) Exchange(context.Context, *rpc.ExchangeRequest) (*rpc.ExchangeResponse, error) {
	return &rpc.ExchangeResponse{Router: "r"}, nil
}

// headerBytes returns the bytes that HTTP adds to one exchange over Twirp.
func headerBytes(b *testing.B) int {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var bytes atomic.Int64
	s := &http.Server{Handler: rpc.NewRouterServer(exchangeServer{})}
	go func() { _ = s.Serve(countingListener{listener, &bytes}) }()
	defer func() { _ = s.Close() }()
	client := rpc.NewRouterProtobufClient("http://"+listener.Addr().String(), &http.Client{})
	const calls = 10
	request := &rpc.ExchangeRequest{Router: "r"}
	for range calls {
		if _, err := client.Exchange(context.Background(), request); err != nil {
			b.Fatal(err)
		}
	}
	return int(bytes.Load())/calls - 2*proto.Size(request)
}

// BenchmarkExchange measures the exchanges of whole fleets after 20 s: the bytes
// of the messages, the time per exchange on both sides, and the bytes sent and
// CPU time used per second by one router, which must stay within the limits.
func BenchmarkExchange(b *testing.B) {
	headers := headerBytes(b)
	for _, store := range []bool{true, false} {
		for _, s := range fleetShapes {
			var f *fleet // reused when the benchmark runs again with a larger b.N
			b.Run(fmt.Sprintf("store=%v/routers=%s", store, s.name), func(b *testing.B) {
				if f == nil {
					f = newFleet(s.shape, store)
					for range 42 {
						f.tick(store)
					}
				}
				f.resetCounters()
				b.ResetTimer()
				for range b.N {
					f.tick(store)
				}
				b.StopTimer()
				report(b, f, headers, store)
			})
		}
	}
}

func report(b *testing.B, f *fleet, headers int, store bool) {
	n, routers := float64(f.exchanges), float64(len(f.members))
	seconds := float64(b.N) * ExchangeInterval.Seconds()
	payload := float64(f.requestBytes+f.responseBytes) / routers / seconds
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(f.requestBytes)/n, "B/request")
	b.ReportMetric(float64(f.responseBytes)/n, "B/answer")
	b.ReportMetric(n/routers/seconds, "exchanges/s")
	b.ReportMetric(float64(f.elapsed.Nanoseconds())/n, "ns/exchange")
	b.ReportMetric(f.observedMeanLoad(), "%mean")
	b.ReportMetric(payload, "sentB/s")
	b.ReportMetric(payload+float64(headers)*n/routers/seconds, "sentB/s+http")
	b.ReportMetric(float64(f.elapsed.Nanoseconds())/routers/seconds/1e9*100, "%core")
	b.ReportMetric(float64(memory.HeapAlloc)/routers/1024, "KB/router")
	if fresh, covered, live := f.health(store); min(fresh, covered, live) < 99.9 {
		b.Errorf("%.1f%% fresh, %.1f%% covered by promises, %.1f%% of the domain live", fresh, covered, live)
	}
	if sent := payload; sent > maxBytesPerSecond {
		b.Errorf("a router sends %.0f bytes a second, more than %d", sent, maxBytesPerSecond)
	}
	if core := float64(f.elapsed.Nanoseconds()) / routers / seconds / 1e7; core > maxCorePercent {
		b.Errorf("exchanges use %.1f%% of a core, more than %.1f%%", core, maxCorePercent)
	}
	runtime.KeepAlive(f)
}
