package hosts

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/standin/flood"
)

const validList = `[
{"targets":["127.0.0.1:9002"],"labels":{"id":"drafter-2","kind":"engine","service":"drafter","model":"loom","failure_domain":"dalton-b","region":"us-se","state":"leaving"}},
{"targets":["127.0.0.1:9001"],"labels":{"id":"drafter-1","kind":"engine","service":"drafter","model":"loom","failure_domain":"dalton-a","region":"us-se","state":"live"}},
{"targets":["127.0.0.1:9003"],"labels":{"id":"orderdesk-1","kind":"plain","service":"orderdesk","failure_domain":"dalton-a","region":"us-se","state":"live"}},
{"targets":["127.0.0.1:9004"],"labels":{"id":"router-1","kind":"router","operators":"127.0.0.1:9005","failure_domain":"dalton-c","region":"us-se","state":"live"}}]`

// TestList guards against queries of a list that return the wrong hosts.
func TestList(t *testing.T) {
	l, faults, err := ParseList([]byte(validList))
	if err != nil || len(faults) > 0 {
		t.Fatal(faults, err)
	}
	engines := l.Engines("", "loom", "us-se")
	if len(engines) != 2 || engines[0].ID() != "drafter-1" || !engines[1].Draining() {
		t.Errorf("engines: %+v", engines)
	}
	if n := len(l.Engines("drafter", "loom", "elsewhere")); n != 0 {
		t.Errorf("%d engines in another region", n)
	}
	if p := l.PlainWorkers("orderdesk", "us-se"); len(p) != 1 || p[0].Pool() != "us-se/orderdesk/" {
		t.Errorf("plain: %+v", p)
	}
	if r := l.Routers(); len(r) != 1 || r[0].OperatorsAddress() != "127.0.0.1:9005" {
		t.Errorf("routers: %+v", r)
	}
	if d := strings.Join(l.FailureDomains(), " "); d != "dalton-a dalton-b dalton-c" {
		t.Errorf("failure domains: %s", d)
	}
}

// TestPollerKeepsLastGoodList guards against an empty, invalid or unreachable
// published list that replaces the current one, and against parsing an unchanged
// list again at each poll if the server sends no entity tags.
func TestPollerKeepsLastGoodList(t *testing.T) {
	var body, etag string
	status, notModified := http.StatusOK, 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if etag != "" && r.Header.Get("If-None-Match") == etag {
			notModified++
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("ETag", etag)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	p := NewPoller(server.URL, time.Hour, server.Client())
	body, etag = validList, `"1"`
	for range 2 {
		if err := p.Poll(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if notModified != 1 {
		t.Errorf("%d conditional requests answered as unchanged, expected 1", notModified)
	}
	current := p.Current()
	etag = `"2"`
	for _, invalid := range []string{
		`{`, `[]`, ``, `null`, `[`, `[{}`, `[{}]`, `[{},`, validList + "]", validList + validList,
		validList[:len(validList)-1], strings.Repeat("[", 20000),
	} {
		body = invalid
		if err := p.Poll(context.Background()); err == nil || p.Current() != current {
			t.Errorf("list accepted: %s", invalid)
		}
	}
	body, status = validList, http.StatusInternalServerError
	if err := p.Poll(context.Background()); err == nil || p.Current() != current {
		t.Error("list of a failed response accepted")
	}
	status, etag = http.StatusOK, ""
	if err := p.Poll(context.Background()); err != nil || p.Current() != current {
		t.Error("an unchanged list without an entity tag was parsed again")
	}
	body = validList + " "
	if err := p.Poll(context.Background()); err != nil || p.Current() == current {
		t.Error("a changed list was not taken")
	}
	current = p.Current()
	server.Close()
	if err := p.Poll(context.Background()); err == nil || p.Current() != current {
		t.Error("unreachable list replaced the last good one")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := p.Run(ctx); !errors.Is(err, context.DeadlineExceeded) || p.Current() != current {
		t.Errorf("run: %v", err)
	}
}

// TestInvalidEntries guards against one invalid entry of the list that keeps the
// router from following the others, or that is itself used.
func TestInvalidEntries(t *testing.T) {
	const entry = `{"targets":["127.0.0.1:9009"],"labels":{"id":"odd","kind":"engine","service":"drafter","model":"loom","failure_domain":"dalton-a","region":"us-se","state":"live"}}`
	valid, _, err := ParseList([]byte(validList))
	if err != nil {
		t.Fatal(err)
	}
	if l, _, err := ParseList([]byte("[" + entry + "," + validList[1:])); err != nil || len(l.Hosts()) != len(valid.Hosts())+1 {
		t.Fatalf("the entry is invalid before it is changed: %v", err)
	}
	for _, c := range []struct{ old, replacement string }{
		{`"live"`, `"dead"`},
		{`"odd"`, `"drafter-1"`},
		{`"odd"`, `""`},
		{`"odd"`, `"` + strings.Repeat("x", 1<<20) + `"`},
		{`"odd"`, `5`},
		{`"odd"`, `1e400`},
		{`"odd"`, strings.Repeat("[", 20000) + strings.Repeat("]", 20000)},
		{`"live"`, `"a]},{[\"\\"`},
		{`"model":"loom",`, ``},
		{`"engine"`, `"plane"`},
		{`127.0.0.1:9009`, `127.0.0.1`},
		{`127.0.0.1:9009`, `127.0.0.1:0`},
		{`127.0.0.1:9009`, `127.0.0.1:65536`},
		{`127.0.0.1:9009`, `127.0.0.1:-1`},
		{`127.0.0.1:9009`, `127.0.0.1:http`},
		{`127.0.0.1:9009`, `drafter.invalid:9009`},
		{`["127.0.0.1:9009"]`, `[]`},
		{`["127.0.0.1:9009"]`, `"127.0.0.1:9009"`},
		{entry, `null`},
		{entry, ``},
		{entry, `{"targets":}`},
		{entry, `[` + entry + `]`},
	} {
		odd := strings.Replace(entry, c.old, c.replacement, 1)
		for _, text := range []string{"[" + odd + "," + validList[1:], validList[:len(validList)-1] + "," + odd + "]"} {
			l, faults, err := ParseList([]byte(text))
			if err != nil || len(faults) != 1 {
				t.Errorf("%.60s for %.60s: %d faults, %v", c.replacement, c.old, len(faults), err)
				continue
			}
			// A second entry with the id of a host takes effect only if it comes first.
			if len(l.Hosts()) != len(valid.Hosts()) {
				t.Errorf("%.60s for %.60s: %d hosts, want %d", c.replacement, c.old, len(l.Hosts()), len(valid.Hosts()))
			}
		}
	}
}

// FuzzParseList guards against lists that crash a router.
func FuzzParseList(f *testing.F) {
	f.Add(validList)
	f.Add(`[{"targets":["a\"]"]},[]]`)
	f.Fuzz(func(t *testing.T, text string) {
		l, _, err := ParseList([]byte(text))
		if err != nil {
			return
		}
		for _, h := range l.Hosts() {
			if _, found := l.Lookup(h.ID()); !found || checkAddress(h.ID(), h.Address()) != nil {
				t.Errorf("unusable host %+v", h)
			}
		}
	})
}

// TestListFlood guards against a server of the list whose bytes without end take
// the memory of the host or stop the polls.
func TestListFlood(t *testing.T) {
	// maxFloodBytes is a quarter of the smallest hosts, which have 184 MB.
	const maxFloodBytes = 46 << 20
	server, err := flood.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	cases, err := flood.Cases()
	if err != nil {
		t.Fatal(err)
	}
	p := NewPoller("http://"+server.Address(), time.Hour, NewClient(0))
	for _, c := range cases {
		server.SetCase(c)
		begin := time.Now()
		peak := flood.PeakHeap(func() {
			if err := p.Poll(context.Background()); err == nil {
				t.Errorf("%s: a list without end was accepted", c.Name())
			}
		})
		if elapsed := time.Since(begin); peak > maxFloodBytes || elapsed > requestTimeout+time.Second {
			t.Errorf("%s: %d MB in %v", c.Name(), peak>>20, elapsed)
		}
	}
}
