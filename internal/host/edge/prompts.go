package edge

import (
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/gossip"
	"github.com/hemlockcroft/hemlockcroft/internal/router/promptwork"
)

const (
	// promptNoticeFanout limits the peers that a notice of a long prompt is sent to.
	promptNoticeFanout = 128
	// promptNoticeRate and promptNoticeBurst limit the datagrams with notices that a
	// router sends to each peer: at the rate, all routers of a large fleet together
	// send 512 datagrams a second to each, 11 KB without their headers.
	promptNoticeRate  = 4.0
	promptNoticeBurst = 8.0
)

// noticeLimit is a token bucket for notices. It is safe for concurrent use.
type noticeLimit struct {
	mu     sync.Mutex
	used   float64
	usedAt clock.Instant
}

// allow reports whether a datagram may be sent.
func (l *noticeLimit) allow(now clock.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used = max(0, l.used-promptNoticeRate*float64(now.Sub(l.usedAt))/float64(time.Second))
	l.usedAt = now
	if l.used+1 > promptNoticeBurst {
		return false
	}
	l.used++
	return true
}

// announcePrompts notifies peers of long prompts that this router has just sent: the
// next digest would arrive after they are read.
func (e *Edge) announcePrompts() {
	notices := e.prompts.TakeNotices()
	if len(notices) == 0 {
		return
	}
	now := clock.Now()
	if !e.promptNotices.allow(now) {
		e.counters.Add("prompt_notices_dropped", int64(len(notices)))
		return
	}
	e.counters.Add("prompt_notices_sent", int64(len(notices)))
	content := gossip.EncodePromptNotices(notices)
	for _, address := range e.gossipState.SampleAddresses(now, promptNoticeFanout) {
		e.send(address, content)
	}
}

// receivePromptNotices adds the long prompts in a datagram of a peer.
func (e *Edge) receivePromptNotices(now clock.Instant, content []byte) {
	for _, n := range gossip.DecodePromptNotices(content) {
		e.prompts.AddPeer(now, n)
	}
}

// promptBacklogs returns the engines with at least a chunk of prompts to read, with
// their tokens, for the metrics.
func (e *Edge) promptBacklogs() any {
	now := clock.Now()
	backlogs := map[string]int{}
	for _, service := range e.directory.Services() {
		upstreams := e.directory.Receiving(service)
		keys := make([]uint64, len(upstreams))
		for i, u := range upstreams {
			keys[i] = u.IDHash()
		}
		for i, b := range e.prompts.Backlogs(now, keys) {
			if b.Tokens >= promptwork.NoticeTokens {
				backlogs[upstreams[i].ID()] = b.Tokens
			}
		}
	}
	return backlogs
}
