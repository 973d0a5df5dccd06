package load

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
	"github.com/hemlockcroft/hemlockcroft/internal/router/place"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/engine"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/pool"
)

// The routings of a run. The naive ones call the engines of the host list
// without a router, for comparison.
const (
	ModeRouters     = "routers"
	ModeRendezvous  = "rendezvous"   // order of the chat's hash over the host list
	ModeLeastLoaded = "least-loaded" // order of the engines' delayed load reports
)

const (
	// listInterval and reportInterval are those of a router, so that a naive
	// routing knows the engines no worse.
	listInterval   = 2 * time.Second
	reportInterval = 500 * time.Millisecond
	// naiveTries is the default number of candidates of a router.
	naiveTries = 3
)

// router gives the addresses to try for a chat, best first.
type router interface {
	addresses(random *rand.Rand, chat uint64) []string
	// again reports whether the next address may be tried after this reply.
	again(r Reply, err error) bool
}

func newRouter(ctx context.Context, background *sync.WaitGroup, o Options) (router, error) {
	if o.Mode == ModeRouters {
		if len(o.Addresses) == 0 {
			return nil, errors.New("load: an address is needed")
		}
		b := newBalancer(o.Addresses, o.Ready)
		stop := b.watch(ctx)
		background.Go(func() {
			<-ctx.Done()
			stop()
		})
		return &routers{balancer: b, failover: o.Failover}, nil
	}
	n := &naive{model: o.Model, poller: hosts.NewPoller(o.Hosts, listInterval, &http.Client{Timeout: listInterval}), loads: map[string]int{}}
	orders := map[string]func(*rand.Rand, uint64, []string) []string{ModeRendezvous: n.rendezvous, ModeLeastLoaded: n.leastLoaded}
	if n.order = orders[o.Mode]; n.order == nil {
		return nil, fmt.Errorf("load: unknown mode %q", o.Mode)
	}
	if err := n.poller.Poll(ctx); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	background.Go(func() { _ = n.poller.Run(ctx) }) // ends with ctx
	if o.Mode == ModeLeastLoaded {
		client := engine.New(pool.New())
		n.readAll(ctx, client)
		background.Go(func() { n.readLoads(ctx, client) })
	}
	return n, nil
}

// routers are addresses of routers behind a load balancer.
type routers struct {
	balancer *balancer
	failover bool
}

func (r *routers) addresses(random *rand.Rand, _ uint64) []string {
	list := slices.Clone(r.balancer.addresses())
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// again tries another router, as a load balancer does, if none took the connection.
func (r *routers) again(_ Reply, err error) bool {
	return r.failover && errors.Is(err, syscall.ECONNREFUSED)
}

// naive routes to the live engines of the host list.
type naive struct {
	model  string
	poller *hosts.Poller
	order  func(random *rand.Rand, chat uint64, ids []string) []string

	mu    sync.Mutex
	loads map[string]int // by id, of the engines that reported last time
}

func (n *naive) engines() map[string]string {
	byID := map[string]string{}
	for _, h := range n.poller.Current().Hosts() {
		if h.Kind() == hosts.KindEngine && h.Model() == n.model && !h.Draining() {
			byID[h.ID()] = h.Address()
		}
	}
	return byID
}

func (n *naive) addresses(random *rand.Rand, chat uint64) []string {
	byID := n.engines()
	var ids []string
	for id := range byID {
		ids = append(ids, id)
	}
	slices.Sort(ids) // so that the seed decides
	order := n.order(random, chat, ids)
	addresses := make([]string, 0, naiveTries)
	for _, id := range order[:min(naiveTries, len(order))] {
		addresses = append(addresses, byID[id])
	}
	return addresses
}

// again tries the next engine after a refusal or a failed connection.
func (*naive) again(r Reply, err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || err == nil && r.Status != http.StatusOK
}

func (*naive) rendezvous(_ *rand.Rand, chat uint64, ids []string) []string {
	return place.Order(chat, ids)
}

func (n *naive) leastLoaded(random *rand.Rand, _ uint64, ids []string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	load := func(id string) int {
		if l, ok := n.loads[id]; ok {
			return l
		}
		return 1 << 30 // did not report: last
	}
	slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(load(a), load(b)) })
	return ids
}

// readLoads keeps the load reports up to date until ctx ends.
func (n *naive) readLoads(ctx context.Context, client *engine.Client) {
	for clock.Sleep(ctx, reportInterval) {
		n.readAll(ctx, client)
	}
}

func (n *naive) readAll(ctx context.Context, client *engine.Client) {
	ctx, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	loads := map[string]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for id, address := range n.engines() {
		group.Go(func() {
			report, err := client.Load(ctx, address)
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
