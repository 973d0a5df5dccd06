package hosts

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/upstream/http1wire"
)

const (
	// maxListBytes bounds the size of a published list. A list of 13,000 hosts
	// has about 4 MB.
	maxListBytes = 6 << 20
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 16 << 10
	// requestTimeout bounds one poll, so that a connection without responses
	// delays the next list by only a few seconds.
	requestTimeout = 5 * time.Second
)

// ErrEmptyList reports that the published list has no hosts although the current
// one has some. It is rejected, since a list that lost its contents by a fault of
// the platform must not stop all traffic.
var ErrEmptyList = errors.New("published host list is empty, the current one is not")

// Poller polls the published host list and keeps the last valid one.
type Poller struct {
	url         string
	interval    time.Duration
	client      *http.Client
	current     atomic.Pointer[List]
	lastSuccess atomic.Int64 // Unix time of the last successful poll in ns, 0 for none
	etag        string       // of the current list, "" if the server sent none
	textHash    uint64       // hash of the current list's text
	lastError   string       // text of the last logged error, "" after a successful poll
	lastFaults  string       // text of the last logged faults of entries, "" for none
	faults      atomic.Int64 // invalid entries of the current list
}

// NewClient returns an HTTP client for a Poller. timeout limits one request.
func NewClient(timeout time.Duration) *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = maxHeaderBytes
	return &http.Client{Timeout: timeout, Transport: http1wire.Strict(transport)}
}

// NewPoller returns a poller with an empty list. Run and Poll fetch the list; at
// most one goroutine may call them at a time.
func NewPoller(url string, interval time.Duration, client *http.Client) *Poller {
	p := &Poller{url: url, interval: interval, client: client}
	p.current.Store(NewList(nil))
	return p
}

// Faults returns the number of invalid entries of the current list, which are left
// out.
func (p *Poller) Faults() int64 { return p.faults.Load() }

// Current returns the last valid list, an empty one before the first successful
// poll.
func (p *Poller) Current() *List { return p.current.Load() }

// LastSuccess returns the time of the last successful poll, the zero time if
// there was none. A poll that finds the list unchanged is successful.
func (p *Poller) LastSuccess() time.Time {
	if ns := p.lastSuccess.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

// Run polls at once and then every interval until ctx ends, and returns the error
// of ctx. If the list is invalid or unreachable, it logs the error and keeps the
// last valid list.
func (p *Poller) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		p.logResult(p.Poll(ctx))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Poll fetches the list once. On an error the current list is kept. If the fetch
// failed, idle connections are closed, since a connection that has stopped
// responding may never recover.
func (p *Poller) Poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	result, err := p.fetch(ctx)
	if err != nil {
		p.client.CloseIdleConnections()
		return err
	}
	if result.list != nil {
		if len(result.list.Hosts()) == 0 && len(p.Current().Hosts()) > 0 {
			return ErrEmptyList
		}
		p.current.Store(result.list)
		p.textHash = result.textHash
		p.faults.Store(int64(len(result.faults)))
		p.logFaults(result.faults)
	}
	p.etag = result.etag
	p.lastSuccess.Store(time.Now().UnixNano())
	return nil
}

// fetchResult is a valid response of the server.
type fetchResult struct {
	list     *List   // nil if the current one is unchanged
	faults   []error // of the entries that are left out of list
	etag     string
	textHash uint64
}

func (p *Poller) fetch(ctx context.Context) (fetchResult, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
	if err != nil {
		return fetchResult{}, fmt.Errorf("host list: %w", err)
	}
	if p.etag != "" {
		request.Header.Set("If-None-Match", p.etag)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return fetchResult{}, fmt.Errorf("host list: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified && p.etag != "" {
		return fetchResult{etag: p.etag}, nil
	}
	if response.StatusCode != http.StatusOK {
		return fetchResult{}, fmt.Errorf("host list: status %d", response.StatusCode)
	}
	var text bytes.Buffer
	text.Grow(int(min(max(response.ContentLength, 0), maxListBytes)) + bytes.MinRead) // avoids growing if the size is known
	if _, err := text.ReadFrom(io.LimitReader(response.Body, maxListBytes+1)); err != nil {
		return fetchResult{}, fmt.Errorf("host list: %w", err)
	}
	if text.Len() > maxListBytes {
		return fetchResult{}, fmt.Errorf("host list exceeds %d bytes", maxListBytes)
	}
	return p.parse(text.Bytes(), response.Header.Get("ETag"))
}

// parse parses a list unless its text equals that of the current one. A server
// without entity tags sends the whole list at each poll, and parsing a list of
// 13,000 hosts takes 0.1 s.
func (p *Poller) parse(text []byte, etag string) (fetchResult, error) {
	textHash := xxhash.Sum64(text)
	if textHash == p.textHash && len(p.Current().Hosts()) > 0 {
		return fetchResult{etag: etag}, nil
	}
	list, faults, err := ParseList(text)
	return fetchResult{list, faults, etag, textHash}, err
}

// maxLoggedFaults limits the faults of one list that are logged in words.
const maxLoggedFaults = 5

// logFaults logs the invalid entries of a list unless they are those of the list
// before.
func (p *Poller) logFaults(faults []error) {
	text := ""
	if len(faults) > 0 {
		text = errors.Join(faults[:min(len(faults), maxLoggedFaults)]...).Error()
	}
	if text == p.lastFaults {
		return
	}
	p.lastFaults = text
	log := logrus.WithField("url", p.url).WithField("invalid", len(faults))
	if text == "" {
		log.Info("all entries of the host list valid again")
		return
	}
	log.WithField("faults", text).Warn("invalid entries of the host list ignored")
}

// logResult logs a poll error unless its text is the same as at the previous
// poll, and logs the first successful poll after an error.
func (p *Poller) logResult(err error) {
	text := ""
	if err != nil && !errors.Is(err, context.Canceled) {
		text = err.Error()
	}
	if text == p.lastError {
		return
	}
	p.lastError = text
	log := logrus.WithField("url", p.url).WithField("hosts", len(p.Current().Hosts()))
	if text != "" {
		log.WithError(err).Warn("host list invalid or unreachable, keeping the last valid one")
		return
	}
	log.Info("host list valid again")
}
