package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["deadly"] = caseDeadly }

const (
	// sharedParts is the number of parts of a prompt before its own, and deadlyIndex the
	// place of the deadly one among them.
	sharedParts = 32
	deadlyIndex = 11
	deadlyPart  = "deadbeef"
	contact     = 3 * time.Second
)

// prompt returns a prompt of many parts: documents that requests share, and one of its
// own. With deadly, one of the documents is the deadly one.
func prompt(n int, deadly bool) string {
	var parts []string
	for i := range sharedParts {
		// Two of the documents are in all prompts, the others in some.
		id := fmt.Sprintf("%x:40", 0x1000+i)
		if i >= 2 {
			id = fmt.Sprintf("%x:40", 0x10000+(n*7+i*13)%60*64+i)
		}
		if deadly && i == deadlyIndex {
			id = deadlyPart + ":40"
		}
		parts = append(parts, id)
	}
	return strings.Join(append(parts, fmt.Sprintf("%x:50", 0x1000000+n)), ",")
}

// engines are workers that are started again some seconds after a crash.
type engines struct {
	mu      sync.Mutex
	crashes []time.Time
	ending  bool
}

// superviseEngines starts workers that crash on the deadly part. Each start has a new id.
func (f *fleet) superviseEngines(count, events int) (*engines, error) {
	w := &engines{}
	var start func(n, generation int) error
	start = func(n, generation int) error {
		p, err := f.startWorker("-id", fmt.Sprintf("model-%d-%d", n, generation), "-address", freeAddress(), "-service", "model", "-deadly", deadlyPart, "-events", strconv.Itoa(events))
		if err != nil {
			return err
		}
		go func() {
			<-p.ended
			w.mu.Lock()
			ending := w.ending
			if !ending {
				w.crashes = append(w.crashes, time.Now())
			}
			w.mu.Unlock()
			if !ending {
				time.Sleep(2 * time.Second)
				_ = start(n, generation+1)
			}
		}()
		return nil
	}
	for i := range count {
		if err := start(i+1, 1); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// judgeDeadly reports whether more than three requests with the deadly part reached
// workers later than the bound after the fifth crash.
func (f *fleet) judgeDeadly(w *engines, deadly map[string]bool, sound, lost int) bool {
	w.mu.Lock()
	w.ending = true
	crashes := w.crashes
	w.mu.Unlock()
	f.record.line("%d workers crashed, %d of %d sound requests were not answered in full", len(crashes), lost, sound)
	if len(crashes) < 5 {
		return false
	}
	late := 0
	for _, e := range f.allEvents() {
		if e.Event == "arrived" && deadly[e.Request] && time.UnixMicro(e.At).After(crashes[4].Add(contact)) {
			late++
		}
	}
	f.record.line("BUDGET: %d requests with the part reached workers later than %s after the fifth crash, 3 are excused", late, contact)
	return late > 3
}

// caseDeadly: one part of a long prompt crashes each worker that begins to answer on it.
func caseDeadly(f *fleet, trouble bool) (bool, error) {
	f.configure(baseConfig(1))
	w, err := f.superviseEngines(9, 7)
	if err != nil {
		return false, err
	}
	if err := f.startRouters(3); err != nil {
		return false, err
	}
	var mu sync.Mutex
	deadly := map[string]bool{}
	sound, lost := 0, 0
	spread(45, 40*time.Second, func(n int) {
		id := fmt.Sprintf("chat-%d", n)
		// Sound requests come alone at first.
		bad := trouble && n > 225 && n%29 == 0
		mu.Lock()
		deadly[id] = bad
		mu.Unlock()
		a := f.send(f.routers[n%3], "POST", "/chat/new", id, "body", 4*time.Second, map[string]string{"Model": "m", "Token-Usage": "1330,50", "Prompt-Prefix": prompt(n, bad)})
		mu.Lock()
		defer mu.Unlock()
		if !bad {
			sound++
			if a.status != 200 || !a.complete {
				lost++
			}
		}
	})
	return f.judgeDeadly(w, deadly, sound, lost), nil
}
