package edge

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/gossip"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/http1wire"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/httpresponse"
)

const (
	// listPath is the path of the list of upstreams on the port for peers.
	listPath = "/upstreams"
	// listTimeout limits a fetch of the list. 3,000 upstreams are some 90 KB
	// compressed, which two fetches at once get over a link of 10 Mbit/s in 0.15 s;
	// 12,000 take 0.6 s.
	listTimeout = 1500 * time.Millisecond
	// maxListFetches limits the lists sent at once. Few at a time spread the list
	// sooner over the fleet than many, since each receiver serves others next.
	maxListFetches = 2
	// listCacheTTL is how long an encoded list is reused: the fetches of a starting
	// fleet come at once.
	listCacheTTL = 500 * time.Millisecond
	// maxListBytes limits a decoded list, to 12,000 upstreams of 650 bytes.
	maxListBytes = 8 << 20
	// maxListResponseBytes limits the compressed list in a response.
	maxListResponseBytes = 2 << 20
)

// errListBusy is returned when a peer has no list or sends it to others already.
var errListBusy = errors.New("peer does not send its list of upstreams now")

// listRelay serves the list of upstreams to peers and fetches it from them.
type listRelay struct {
	directory *directory.Directory
	tracker   *topicTracker
	slots     chan struct{}
	client    *http.Client

	mu        sync.Mutex
	encoded   []byte
	encodedAt clock.Instant
}

func newListRelay(d *directory.Directory, t *topicTracker) *listRelay {
	return &listRelay{
		directory: d, tracker: t, slots: make(chan struct{}, maxListFetches),
		client: &http.Client{Timeout: listTimeout, Transport: http1wire.Strict(&http.Transport{
			DialContext: (&net.Dialer{Timeout: relayTimeout}).DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxControlBytes,
		})},
	}
}

// peerHandler returns the handler of the requests of peers.
func (e *Edge) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+listPath, e.listRelay)
	mux.Handle("/", rpc.NewRelayServer(e.relay))
	return mux
}

// ServeHTTP sends the list of upstreams with the store's revision and the age of the
// last confirmation, or refuses at once so that the peer asks another router.
func (l *listRelay) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	select {
	case l.slots <- struct{}{}:
		defer func() { <-l.slots }()
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	response, err := l.encode(clock.Now())
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// An error means that the peer has disconnected.
	_, _ = w.Write(response)
}

// encode returns the list with its revision and age.
func (l *listRelay) encode(now clock.Instant) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The confirmation is read before the entries, which are then at least as new.
	c := l.tracker.current()
	if c.Confirmed == 0 || c.Revision == 0 || now.Sub(c.Confirmed) > l.tracker.maxAge/2 {
		return nil, errListBusy
	}
	if l.encoded == nil || now.Sub(l.encodedAt) >= listCacheTTL {
		document, err := encodeEntries(l.directory.Entries(now))
		if err != nil {
			return nil, err
		}
		response := &rpc.FetchOrdersResponse{Document: document, Revision: c.Revision, AgeMs: uint32(now.Sub(c.Confirmed).Milliseconds()) + 1}
		if l.encoded, err = proto.Marshal(response); err != nil {
			return nil, fmt.Errorf("encode list of upstreams: %w", err)
		}
		l.encodedAt = now
		return l.encoded, nil
	}
	var response rpc.FetchOrdersResponse
	if err := proto.Unmarshal(l.encoded, &response); err != nil {
		return nil, fmt.Errorf("decode list of upstreams: %w", err)
	}
	// Revision and age stay those of the cached entries.
	response.AgeMs += uint32(now.Sub(l.encodedAt).Milliseconds()) + 1
	encoded, err := proto.Marshal(&response)
	if err != nil {
		return nil, fmt.Errorf("encode list of upstreams: %w", err)
	}
	return encoded, nil
}

// encodeEntries encodes registrations in the form of updates, compressed.
func encodeEntries(entries []directory.Entry) ([]byte, error) {
	updates := make([]directory.Update, len(entries))
	for i := range entries {
		updates[i] = directory.Update{ID: entries[i].ID, Entry: &entries[i], Revision: max(1, entries[i].Revision)}
	}
	datagrams, err := gossip.EncodeUpdates(updates)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	for _, d := range datagrams {
		// The first byte is the format of the datagram.
		if _, err := w.Write(d[1:]); err != nil {
			return nil, fmt.Errorf("compress list of upstreams: %w", err)
		}
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress list of upstreams: %w", err)
	}
	return b.Bytes(), nil
}

// decodeEntries decodes what encodeEntries returns.
func decodeEntries(compressed []byte) ([]directory.Entry, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("decompress list of upstreams: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(r, maxListBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress list of upstreams: %w", err)
	}
	if len(text) > maxListBytes {
		return nil, errTooLong
	}
	updates, err := gossip.DecodeUpdates(append([]byte{0}, text...))
	if err != nil {
		return nil, err
	}
	entries := make([]directory.Entry, 0, len(updates))
	for _, u := range updates {
		if u.Entry != nil {
			entries = append(entries, *u.Entry)
		}
	}
	return entries, nil
}

// fetchFrom reads the list from the peer at address. It includes all changes up to
// the revision and was the newest at confirmed, which is calculated from the time
// before the call, since the peer determines the age during the call.
func (l *listRelay) fetchFrom(ctx context.Context, address string) (entries []directory.Entry, revision uint64, confirmed clock.Instant, err error) {
	sent := clock.Now()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+listPath, nil)
	if err != nil {
		return nil, 0, 0, fmt.Errorf("fetch list of upstreams: %w", err)
	}
	res, err := l.client.Do(r)
	if err != nil {
		return nil, 0, 0, fmt.Errorf("fetch list of upstreams: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, 0, 0, errListBusy
	}
	httpresponse.LimitBody(res, maxListResponseBytes)
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, 0, 0, fmt.Errorf("fetch list of upstreams: %w", err)
	}
	var response rpc.FetchOrdersResponse
	if err := proto.Unmarshal(body, &response); err != nil {
		return nil, 0, 0, fmt.Errorf("decode list of upstreams: %w", err)
	}
	if entries, err = decodeEntries(response.GetDocument()); err != nil {
		return nil, 0, 0, err
	}
	return entries, response.GetRevision(), sent.Add(-time.Duration(response.GetAgeMs()) * time.Millisecond), nil
}

// fetchUpstreams reads the list of upstreams from a peer that is known to have one,
// and reports whether it has taken effect.
func (e *Edge) fetchUpstreams(ctx context.Context) bool {
	address := e.upstreamsTracker.takeSource()
	return address != "" && e.fetchUpstreamsFrom(ctx, address, 0)
}

// fetchNewerUpstreams reads the list of upstreams from the peer that has a newer one, or
// from a watcher, and reports whether it has taken effect. The changes in the store, with all
// heartbeats, may be larger than the list.
func (e *Edge) fetchNewerUpstreams(ctx context.Context) bool {
	address, lastRead := e.upstreamsTracker.newerSource()
	if !e.gossipState.IsLarge() {
		return false
	}
	if address != "" && e.fetchUpstreamsFrom(ctx, address, lastRead) {
		return true
	}
	if !e.gossipState.ExchangesLess() {
		return false
	}
	// A watcher has the newest list unless it is cut off from the store.
	watchers := e.watchers(gossip.Upstreams)
	address = e.gossipState.Address(watchers[rand.IntN(len(watchers))])
	return address != "" && e.fetchUpstreamsFrom(ctx, address, lastRead)
}

// mayAwaitUpdates reports whether a router whose state differs from that of a peer goes
// on to request updates instead of reading the store: in a large fleet until its last
// confirmation is too old. When a failure domain is lost, all states differ for a while,
// and all routers would read all heartbeats.
func (e *Edge) mayAwaitUpdates(now clock.Instant) bool {
	age, _ := e.upstreamsTracker.age(now)
	return e.gossipState.ExchangesLess() && age < e.upstreamsTracker.maxAge
}

// fetchUpstreamsFrom reads the list from the peer at address. It takes effect if it was
// confirmed after an instant.
func (e *Edge) fetchUpstreamsFrom(ctx context.Context, address string, after clock.Instant) bool {
	begin := clock.Now()
	entries, revision, confirmed, err := e.listRelay.fetchFrom(ctx, address)
	if err == nil && (revision == 0 || confirmed <= after || clock.Since(confirmed) >= e.upstreamsTracker.maxAge) {
		err = errNotNewer
	}
	if err != nil {
		e.counters.Add("upstream_lists_not_fetched", 1)
		if !errors.Is(err, errListBusy) {
			e.log.WithError(err).WithField("peer", address).Info("list of upstreams not fetched from peer")
		}
		return false
	}
	e.counters.Add("upstream_lists_fetched", 1)
	e.recordStoreReached(confirmed, true)
	e.logListing(e.directory.Replace(clock.Now(), entries, revision), revision)
	e.confirmUpstreams(confirmed, revision)
	e.finishListing(len(entries), revision, address, begin, confirmed)
	return true
}

// finishListing records that the directory is complete. from is "store" or the address
// of a peer.
func (e *Edge) finishListing(upstreams int, revision uint64, from string, begin, confirmed clock.Instant) {
	if !e.upstreamsListed.Swap(true) || from != "store" {
		e.log.WithFields(logrus.Fields{
			"upstreams": upstreams, "revision": revision, "from": from,
			"read_ms": clock.Since(begin).Milliseconds(), "age_ms": clock.Since(confirmed).Milliseconds(),
		}).Info("upstreams listed")
	}
	e.completeStartup()
}
