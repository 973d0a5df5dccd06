package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/settings"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/etcd"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/engine"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/hosts"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/kv"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/loadgen"
)

const testSecret = "a-secret-of-the-tests"

// loopbackAddressCount counts the addresses that freeAddress has returned.
var loopbackAddressCount atomic.Uint32

// freeAddress returns an address that nothing listens on. Each call uses a different
// loopback IP, so that no other test or connection can take the port.
func freeAddress(t testing.TB) string {
	t.Helper()
	n := loopbackAddressCount.Add(1)
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+n/250, 1+n%250)
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startStore runs a key-value service with a fleet configuration and returns its URL.
func startStore(t testing.TB) string {
	t.Helper()
	store := httptest.NewServer(kv.New(time.Second))
	t.Cleanup(func() {
		store.CloseClientConnections()
		store.Close()
	})
	document := "[fleet]\nversion = 1\n[defaults]\nmax_load = 1000\ncold_limit = 900\nload_floor = 1000\n"
	if done, _, err := etcd.New([]string{store.URL}).Create(context.Background(), configKey, []byte(document), 0); err != nil || !done {
		t.Fatal("configuration not written: ", err)
	}
	return store.URL
}

// startFleet runs routers with engines at the given addresses in this process. It
// returns the callers' addresses once the routers are ready, and a function that stops
// the routers.
func startFleet(t testing.TB, store string, routers int, engines []string) (callers []string, stop func()) {
	t.Helper()
	target := func(address, id, kind, model string) hosts.Target {
		return hosts.Target{Targets: []string{address}, Labels: map[string]string{
			"id": id, "kind": kind, "service": "drafter", "model": model, "failure_domain": "d", "region": "r", "state": "live",
		}}
	}
	var targets []hosts.Target
	for i, address := range engines {
		targets = append(targets, target(address, fmt.Sprint("drafter-", i+1), "engine", engine.Defaults().Model))
	}
	var peers []string
	for i := range routers {
		callers, peers = append(callers, freeAddress(t)), append(peers, freeAddress(t))
		targets = append(targets, target(peers[i], fmt.Sprint("router-", i+1), "router", ""))
	}
	hostServer := httptest.NewServer(hosts.New(targets))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, routers)
	var ready []string
	for i := range routers {
		operators := freeAddress(t)
		ready = append(ready, "http://"+operators+"/readyz")
		s, err := settings.Parse("test.ini", fmt.Appendf(nil, `[daemon]
id = router-%d
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
`, i+1, callers[i], peers[i], operators, testSecret, store, hostServer.URL))
		if err != nil {
			t.Fatal(err)
		}
		go func() { ended <- Run(ctx, s) }()
	}
	stop = sync.OnceFunc(func() {
		cancel()
		for range routers {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
		hostServer.CloseClientConnections()
		hostServer.Close()
	})
	t.Cleanup(stop)
	readyCtx, cancelReady := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancelReady()
	if err := loadgen.WaitReady(readyCtx, ready); err != nil {
		t.Fatal(err)
	}
	return callers, stop
}
