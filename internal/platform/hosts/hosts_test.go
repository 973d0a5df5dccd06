package hosts

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

const validList = `[
{"targets":["127.0.0.1:9002"],"labels":{"id":"drafter-2","kind":"engine","service":"drafter","model":"loom","failure_domain":"dalton-b","region":"us-se","state":"leaving"}},
{"targets":["127.0.0.1:9001"],"labels":{"id":"drafter-1","kind":"engine","service":"drafter","model":"loom","failure_domain":"dalton-a","region":"us-se","state":"live"}},
{"targets":["127.0.0.1:9003"],"labels":{"id":"orderdesk-1","kind":"plain","service":"orderdesk","failure_domain":"dalton-a","region":"us-se","state":"live"}},
{"targets":["127.0.0.1:9004"],"labels":{"id":"router-1","kind":"router","operators":"127.0.0.1:9005","failure_domain":"dalton-c","region":"us-se","state":"live"}}]`

// TestList guards against queries of a list that return the wrong hosts.
func TestList(t *testing.T) {
	l, err := ParseList([]byte(validList))
	if err != nil {
		t.Fatal(err)
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
		`{`, `[]`,
		strings.Replace(validList, `"live"`, `"dead"`, 1),
		strings.Replace(validList, `drafter-2`, `drafter-1`, 1),
		strings.Replace(validList, `127.0.0.1:9001`, `127.0.0.1`, 1),
		strings.Replace(validList, `"model":"loom",`, ``, 1),
		strings.Replace(validList, `"plain"`, `"plane"`, 1),
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
