package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleetconfig"
	"github.com/hemlockcroft/hemlockcroft/internal/operator/settings"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/etcd"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/engine"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/hosts"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/kv"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/loadgen"
)

const benchSecret = "a-secret-of-the-benchmark"

func freeAddress(b *testing.B) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startRouter runs one router with one engine in this process and returns the
// callers' address once the router is ready.
func startRouter(b *testing.B) string {
	b.Helper()
	options := engine.Defaults()
	options.ColdLimit, options.MaxBatchSize, options.PrefillPerToken, options.InterTokenLatency = 1000, 1000, 0, 0
	engineServer := httptest.NewServer(engine.New(options))
	store := httptest.NewServer(kv.New(time.Second))
	callers, routers, operators := freeAddress(b), freeAddress(b), freeAddress(b)
	target := func(address, id, kind, model string) hosts.Target {
		return hosts.Target{Targets: []string{address}, Labels: map[string]string{
			"id": id, "kind": kind, "service": "drafter", "model": model, "failure_domain": "d", "region": "r", "state": "live",
		}}
	}
	hostServer := httptest.NewServer(hosts.New([]hosts.Target{
		target(strings.TrimPrefix(engineServer.URL, "http://"), "drafter-1", "engine", options.Model), target(routers, "router-1", "router", ""),
	}))
	s, err := settings.Parse("bench.ini", fmt.Appendf(nil, `[daemon]
id = router-1
failure_domain = d
region = r
callers = %s
routers = %s
operators = %s
key_secret = %s
log_level = error
[platform]
store = %s
hosts = %s/hosts
`, callers, routers, operators, benchSecret, store.URL, hostServer.URL))
	if err != nil {
		b.Fatal(err)
	}
	document := "[fleet]\nversion = 1\n[defaults]\nmax_load = 1000\ncold_limit = 900\nload_floor = 1000\n"
	if done, _, err := etcd.New([]string{store.URL}).Create(context.Background(), configKey, []byte(document), 0); err != nil || !done {
		b.Fatal("configuration not written: ", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, s) }()
	b.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			b.Error(err)
		}
		for _, server := range []*httptest.Server{engineServer, store, hostServer} {
			server.CloseClientConnections()
			server.Close()
		}
	})
	readyCtx, stop := context.WithTimeout(context.Background(), 30*time.Second)
	defer stop()
	if err := loadgen.WaitReady(readyCtx, []string{"http://" + operators + "/readyz"}); err != nil {
		b.Fatal(err)
	}
	return callers
}

// BenchmarkChat sends streamed chats of 5 and 200 tokens through a router. Time and
// allocations include the client and the engine, which run in the same process; a
// profile separates them by package.
func BenchmarkChat(b *testing.B) {
	address := startRouter(b)
	key, err := fleetconfig.IssueKey([]byte(benchSecret), "w", 1)
	if err != nil {
		b.Fatal(err)
	}
	var chat atomic.Int64
	send := func(words int) error {
		messages := []engine.Message{{Role: "user", Content: "Draft." + engine.LengthRequest(words)}}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		reply, err := loadgen.SendChat(ctx, http.DefaultClient, loadgen.ChatRequest{
			Address: address, APIKey: key, ChatID: fmt.Sprint(chat.Add(1)), Model: engine.Defaults().Model, Messages: messages, Stream: true,
		})
		if err == nil && !reply.Correct(messages) {
			err = fmt.Errorf("status %d, executed %q, complete %v", reply.Status, reply.Executed, reply.Complete)
		}
		return err
	}
	// A new owner admits no requests at first, so the first one is retried.
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		if err = send(1); err == nil {
			break
		}
		if time.Now().After(deadline) {
			b.Fatal(err)
		}
	}
	for _, words := range []int{5, 200} {
		b.Run(fmt.Sprintf("tokens=%d", words), func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism(2)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := send(words); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}
