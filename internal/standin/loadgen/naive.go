package loadgen

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/hosts"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/engine"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/transport"
)

// The modes of a run. The naive ones, which serve as a baseline, send requests to
// the engines of the host list without a router.
const (
	ModeRouters     = "routers"
	ModeRendezvous  = "rendezvous"   // rendezvous hashing of the chat over the engines
	ModeLeastLoaded = "least-loaded" // ascending load by the engines' delayed load reports
)

const (
	// hostListInterval and loadReportInterval equal those of a router, so that the
	// data of a naive routing is as recent as that of a router.
	hostListInterval   = 2 * time.Second
	loadReportInterval = 500 * time.Millisecond
	// naiveCandidates equals a router's default number of candidates.
	naiveCandidates = 3
)

// routing chooses the addresses for a chat request.
type routing interface {
	// candidates returns the addresses to try, best first.
	candidates(random *rand.Rand, chatKey uint64) []string
	// mayRetry reports whether the next address may be tried after this response
	// or error.
	mayRetry(r ChatResponse, err error) bool
}

func newRouting(ctx context.Context, background *sync.WaitGroup, o Options) (routing, error) {
	if o.Mode == ModeRouters {
		if len(o.RouterAddresses) == 0 {
			return nil, errors.New("load: no router address is given")
		}
		b := newBalancer(o.RouterAddresses, o.ReadinessURLs)
		stop := b.startChecks(ctx)
		background.Go(func() {
			<-ctx.Done()
			stop()
		})
		return &routerRouting{balancer: b, failover: o.Failover}, nil
	}
	n := &naiveRouting{model: o.Model, poller: hosts.NewPoller(o.HostListURL, hostListInterval, hosts.NewClient(hostListInterval)), loads: map[string]int{}}
	ranks := map[string]func(*rand.Rand, uint64, []string) []string{ModeRendezvous: n.rendezvousOrder, ModeLeastLoaded: n.leastLoaded}
	if n.rank = ranks[o.Mode]; n.rank == nil {
		return nil, fmt.Errorf("load: unknown mode %q", o.Mode)
	}
	if err := n.poller.Poll(ctx); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	background.Go(func() { _ = n.poller.Run(ctx) }) // ends with ctx
	if o.Mode == ModeLeastLoaded {
		client := engine.New(transport.New())
		n.updateLoads(ctx, client)
		background.Go(func() { n.pollLoads(ctx, client) })
	}
	return n, nil
}

// routerRouting sends requests to routers as a load balancer does.
type routerRouting struct {
	balancer *balancer
	failover bool
}

func (r *routerRouting) candidates(random *rand.Rand, _ uint64) []string {
	shuffled := slices.Clone(r.balancer.readyRouters())
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled
}

// mayRetry allows another router, as a load balancer does, if failover is on and
// the connection was refused.
func (r *routerRouting) mayRetry(_ ChatResponse, err error) bool {
	return r.failover && errors.Is(err, syscall.ECONNREFUSED)
}

// naiveRouting sends requests to the engines of the host list that are not draining.
type naiveRouting struct {
	model  string
	poller *hosts.Poller
	rank   func(random *rand.Rand, chat uint64, ids []string) []string

	mu    sync.Mutex
	loads map[string]int // by ID, of the engines that responded to the last poll
}

func (n *naiveRouting) engineAddresses() map[string]string {
	byID := map[string]string{}
	for _, h := range n.poller.Current().Hosts() {
		if h.Kind() == hosts.KindEngine && h.Model() == n.model && !h.Draining() {
			byID[h.ID()] = h.Address()
		}
	}
	return byID
}

func (n *naiveRouting) candidates(random *rand.Rand, chatKey uint64) []string {
	byID := n.engineAddresses()
	var ids []string
	for id := range byID {
		ids = append(ids, id)
	}
	slices.Sort(ids) // so that the order depends only on the seed
	ranked := n.rank(random, chatKey, ids)
	addresses := make([]string, 0, naiveCandidates)
	for _, id := range ranked[:min(naiveCandidates, len(ranked))] {
		addresses = append(addresses, byID[id])
	}
	return addresses
}

// mayRetry allows the next engine after an error response or a refused connection.
func (*naiveRouting) mayRetry(r ChatResponse, err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || err == nil && r.Status != http.StatusOK
}

func (*naiveRouting) rendezvousOrder(_ *rand.Rand, chatKey uint64, ids []string) []string {
	return rendezvous.Order(chatKey, ids)
}

func (n *naiveRouting) leastLoaded(random *rand.Rand, _ uint64, ids []string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	load := func(id string) int {
		if l, ok := n.loads[id]; ok {
			return l
		}
		return 1 << 30 // engines without a report come last
	}
	slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(load(a), load(b)) })
	return ids
}

// pollLoads reads the engines' load reports at intervals until ctx ends.
func (n *naiveRouting) pollLoads(ctx context.Context, client *engine.Client) {
	for clock.Sleep(ctx, loadReportInterval) {
		n.updateLoads(ctx, client)
	}
}

func (n *naiveRouting) updateLoads(ctx context.Context, client *engine.Client) {
	ctx, cancel := context.WithTimeout(ctx, loadReportInterval)
	defer cancel()
	loads := map[string]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for id, address := range n.engineAddresses() {
		group.Go(func() {
			report, err := client.LoadReport(ctx, address)
			if err != nil || report.State == "leaving" {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			loads[id] = report.Running + report.Waiting
		})
	}
	group.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads = loads
}
