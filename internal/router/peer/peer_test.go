package peer

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// exchangeServer implements only Exchange.
type exchangeServer struct{ rpc.Router }

func (exchangeServer) Exchange(context.Context, *rpc.ExchangeRequest) (*rpc.ExchangeResponse, error) {
	return &rpc.ExchangeResponse{ConfigVersion: 7}, nil
}

func counterValue(t *testing.T, vars *expvar.Map, name string) int64 {
	t.Helper()
	v, ok := vars.Get(name).(*expvar.Int)
	if !ok {
		t.Fatalf("no counter %q in %s", name, vars)
	}
	return v.Value()
}

// TestBothSidesCountTheSameTraffic guards against control traffic that only the
// client counts, which makes a router's share appear half as large as it is. It
// also guards against counters named after arbitrary request paths, against
// connections that are replaced while in use, and against idle connections that
// are kept open and pinged.
func TestBothSidesCountTheSameTraffic(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served, called := new(expvar.Map).Init(), new(expvar.Map).Init()
	server := Server(l.Addr().String(), exchangeServer{}, served, func([]byte) {})
	server.IdleTimeout = 500 * time.Millisecond
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(Listener(l, served)) }()
	const calls = 50
	client := New("", nil, called, func() bool { return false })
	for i := range calls {
		time.Sleep(server.IdleTimeout / 25)
		if i == calls-1 {
			if n := counterValue(t, called, "connections"); n != 1 {
				t.Errorf("%d connections for consecutive calls, want 1", n)
			}
			time.Sleep(2 * server.IdleTimeout)
		}
		r, err := client.Client(l.Addr().String()).Exchange(context.Background(), &rpc.ExchangeRequest{Router: "a"})
		if err != nil || r.ConfigVersion != 7 {
			t.Fatalf("exchange: %v, %v", r, err)
		}
	}
	resp, err := http.Get("http://" + l.Addr().String() + "/any/path")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	_ = server.Close()
	<-serveErr
	if n := counterValue(t, called, "connections"); n != 2 {
		t.Errorf("%d connections after an idle period, want 2", n)
	}
	for _, kind := range []string{"Exchange_calls", "Exchange_bytes"} {
		if s, c := counterValue(t, served, servedPrefix+kind), counterValue(t, called, kind); s != c || c < calls {
			t.Errorf("%s: served %d, called %d", kind, s, c)
		}
	}
	if in, out := counterValue(t, served, servedPrefix+"wire_bytes_in"), counterValue(t, called, "wire_bytes_out"); in < out {
		t.Errorf("server counted %d of %d bytes sent", in, out)
	}
	if served.Get(servedPrefix+"path_calls") != nil {
		t.Error("an unknown path has a counter")
	}
}
