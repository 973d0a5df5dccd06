package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/standin"
)

// dialTimeout bounds the dial to the target.
const dialTimeout = 2 * time.Second

// Faults are the faults in force; POST /faults changes the fields it names.
type Faults struct {
	Cut    bool `json:"cut"`    // once: resets the existing connections
	Silent bool `json:"silent"` // once: existing connections lose all further bytes
	Block  bool `json:"block"`  // closes new connections at once
	OneWay bool `json:"oneway"` // connections lose what the target sends
	// DelayMS delays what the target sends, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
}

// pair is a forwarded connection. After silence nothing passes, not even the
// end of either side.
type pair struct {
	near, far net.Conn
	forwarder *Forwarder
	silent    atomic.Bool
	since     time.Time    // of the silence; the forwarder's lock protects it
	gone      bool         // the user has closed its side; also under the lock
	lost      atomic.Int64 // when bytes were first lost in the silence, Unix time in ns
}

// Stats are counts of the connections that went silent.
type Stats struct {
	Silenced  int   `json:"silenced"`
	Left      int   `json:"left"`       // those that their user has closed since
	SlowestMS int64 `json:"slowest_ms"` // longest time to such a close, or until now without one
}

// Forwarder forwards TCP connections to one address.
type Forwarder struct {
	to string
	// oneWay and delayMS repeat the faults for the copying goroutines.
	oneWay  atomic.Bool
	delayMS atomic.Int64

	mu     sync.Mutex
	faults Faults
	stats  Stats
	pairs  map[*pair]bool
	open   sync.WaitGroup
}

// New returns a forwarder to the address.
func New(to string) *Forwarder { return &Forwarder{to: to, pairs: map[*pair]bool{}} }

// ServeHTTP answers /faults and /stats.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/stats" {
		standin.Write(w, http.StatusOK, f.current())
		return
	}
	f.mu.Lock()
	faults := f.faults
	f.mu.Unlock()
	standin.Faults(w, r, &faults, func() { f.SetFaults(faults) })
}

// SetFaults replaces the faults in force; Cut and Silent take effect once.
func (f *Forwarder) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.pairs {
		if faults.Silent && p.silent.CompareAndSwap(false, true) {
			p.since = time.Now()
			f.stats.Silenced++
		}
		if faults.Cut {
			p.reset()
		}
	}
	f.faults = Faults{Block: faults.Block, OneWay: faults.OneWay, DelayMS: faults.DelayMS}
	f.oneWay.Store(faults.OneWay)
	f.delayMS.Store(faults.DelayMS)
}

// Run forwards the connections of the listener until ctx ends.
func (f *Forwarder) Run(ctx context.Context, listener net.Listener) error {
	defer f.open.Wait()
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		f.SetFaults(Faults{Cut: true, Block: true})
	})
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
		f.open.Go(func() { f.forward(conn) })
	}
}

func (f *Forwarder) forward(near net.Conn) {
	defer near.Close()
	far, err := net.DialTimeout("tcp", f.to, dialTimeout)
	if err != nil {
		return
	}
	p := &pair{near: near, far: far, forwarder: f}
	defer p.close()
	if !f.add(p) {
		return
	}
	defer f.remove(p)
	var copies sync.WaitGroup
	copies.Go(func() {
		p.copy(far, near)
		f.left(p)
	})
	copies.Go(func() { p.copy(near, far) })
	copies.Wait()
}

func (f *Forwarder) add(p *pair) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.Block {
		return false
	}
	f.pairs[p] = true
	return true
}

func (f *Forwarder) remove(p *pair) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pairs, p)
}

// left notes that the user of a silent pair has closed its side.
func (f *Forwarder) left(p *pair) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p.gone = true
	if p.since.IsZero() {
		return
	}
	since := p.since
	if sent := p.firstLost(); !sent.IsZero() {
		since = sent
	}
	f.stats.Left++
	f.stats.SlowestMS = max(f.stats.SlowestMS, time.Since(since).Milliseconds())
}

// current returns the counts with the pairs that lost bytes and are still open.
func (f *Forwarder) current() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.stats
	for p := range f.pairs {
		if sent := p.firstLost(); !p.gone && !sent.IsZero() {
			s.SlowestMS = max(s.SlowestMS, time.Since(sent).Milliseconds())
		}
	}
	return s
}

// firstLost returns when the first bytes were lost. The time until a silent
// connection is given up counts from then: the user of an idle connection cannot
// notice the silence before it sends, that of a stream can once it waits for
// bytes that the other side has sent.
func (p *pair) firstLost() time.Time {
	if ns := p.lost.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}

// passing writes to one side or, once the pair is silent, discards the bytes.
type passing struct {
	pair *pair
	to   net.Conn
}

func (w passing) Write(b []byte) (int, error) {
	if w.pair.silent.Load() {
		w.pair.lost.CompareAndSwap(0, time.Now().UnixNano())
		return len(b), nil
	}
	if w.to == w.pair.near {
		if w.pair.forwarder.oneWay.Load() {
			return len(b), nil
		}
		time.Sleep(time.Duration(w.pair.forwarder.delayMS.Load()) * time.Millisecond)
	}
	return w.to.Write(b)
}

// copy forwards one direction and passes its end on unless silent.
func (p *pair) copy(to, from net.Conn) {
	_, err := io.Copy(passing{pair: p, to: to}, from)
	switch half, ok := to.(*net.TCPConn); {
	case p.silent.Load():
	case err == nil && ok:
		_ = half.CloseWrite()
	default:
		p.reset()
	}
}

// reset closes both sides with a reset, as the side that broke did. An orderly
// close would make a body that ends with its connection look complete.
func (p *pair) reset() {
	for _, c := range []net.Conn{p.near, p.far} {
		if tcp, ok := c.(*net.TCPConn); ok {
			// A closed connection needs no linger.
			_ = tcp.SetLinger(0)
		}
	}
	p.close()
}
