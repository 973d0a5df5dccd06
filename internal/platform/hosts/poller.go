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
)

const (
	// maxListBytes bounds a published list; 13,000 hosts take about 4 MB.
	maxListBytes = 32 << 20
	// requestTimeout bounds one poll, so that a silent connection delays the
	// list by seconds only.
	requestTimeout = 5 * time.Second
)

// ErrEmptyList reports that the published list has no hosts although the present
// one has some; a list that lost its contents must not stop all traffic.
var ErrEmptyList = errors.New("host list is empty, the present one is not")

// Poller keeps the last good host list.
type Poller struct {
	url         string
	interval    time.Duration
	client      *http.Client
	current     atomic.Pointer[List]
	lastSuccess atomic.Int64 // Unix time of the last good poll in ns, 0 for none
	etag        string       // of the current list, "" if the server sent none
	textHash    uint64       // hash of the current list's text
	lastError   string       // last error, "" after a good poll
}

// NewPoller returns a poller with an empty list. Run or Poll must be called to
// fill it, from one goroutine at a time.
func NewPoller(url string, interval time.Duration, client *http.Client) *Poller {
	p := &Poller{url: url, interval: interval, client: client}
	p.current.Store(NewList(nil))
	return p
}

// Current returns the last good list, an empty one before the first.
func (p *Poller) Current() *List { return p.current.Load() }

// LastSuccess returns the time of the last good poll, the zero time if there was
// none.
func (p *Poller) LastSuccess() time.Time {
	if ns := p.lastSuccess.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

// Run polls at once and then every interval, until ctx ends. A bad or
// unreachable list is logged and the last good one is kept.
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

// Poll reads the list once; on an error the current list is unchanged. A
// failure on a kept connection drops it, since connections may go silent for
// good.
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
	}
	p.etag = result.etag
	p.lastSuccess.Store(time.Now().UnixNano())
	return nil
}

// fetchResult is a good answer of the server.
type fetchResult struct {
	list     *List // nil if the current one is unchanged
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
	text.Grow(int(min(max(response.ContentLength, 0), maxListBytes)) + bytes.MinRead) // known sizes need no growth
	if _, err := text.ReadFrom(io.LimitReader(response.Body, maxListBytes+1)); err != nil {
		return fetchResult{}, fmt.Errorf("host list: %w", err)
	}
	if text.Len() > maxListBytes {
		return fetchResult{}, fmt.Errorf("host list exceeds %d bytes", maxListBytes)
	}
	return p.parse(text.Bytes(), response.Header.Get("ETag"))
}

// parse parses a list unless its text is that of the current one: a server
// without entity tags sends the whole list each time, and parsing one of 13,000
// hosts takes a tenth of a second.
func (p *Poller) parse(text []byte, etag string) (fetchResult, error) {
	textHash := xxhash.Sum64(text)
	if textHash == p.textHash && len(p.Current().Hosts()) > 0 {
		return fetchResult{etag: etag}, nil
	}
	list, err := ParseList(text)
	return fetchResult{list, etag, textHash}, err
}

// logResult logs a failure once for as long as its text stays the same, and the
// recovery from it.
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
		log.WithError(err).Warn("host list not usable, keeping the last good one")
		return
	}
	log.Info("host list usable again")
}
