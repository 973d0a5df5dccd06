package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["sessions"] = caseSessions }

const (
	// sessionCount is the number of chats; each sends a request every sessionCount /
	// sessionRate seconds.
	sessionCount = 900
	sessionRate  = 30
	// repeatDelay is how long a client waits before its one repeat.
	repeatDelay = 400 * time.Millisecond
)

// chatPrompt returns the prompt of a request of a chat: a part that all requests share,
// with deadly the deadly document, the part of the chat and one of its own.
func chatPrompt(chat, n int, deadly bool) string {
	document := ""
	if deadly {
		document = deadlyPart + ":300,"
	}
	return fmt.Sprintf("5e55:2500,%s%x:600,%x:50", document, 0x100000+chat, 0x1000000+n)
}

// caseSessions: one document crashes each worker that begins to answer on it. It comes in
// one chat after the other; clients repeat once what failed. A third of the sound requests
// are streams that may not be resumed, which a crash cuts off.
func caseSessions(f *fleet, trouble bool) (bool, error) {
	f.configure(baseConfig(1))
	w, err := f.superviseEngines(9, 20)
	if err != nil {
		return false, err
	}
	if err := f.startRouters(3); err != nil {
		return false, err
	}
	var mu sync.Mutex
	deadly := map[string]bool{}
	sound, lost := 0, 0
	chat := func(n, chat int, bad bool) {
		end, path, tries := time.Now().Add(4*time.Second), "/chat/new", 2
		if !bad && chat%3 == 0 {
			// A stream that must not be resumed is not repeated by clients either.
			end, path, tries = time.Now().Add(2500*time.Millisecond), "/chat/digest/new", 1
		}
		for try := range tries {
			id := fmt.Sprintf("chat-%d-%d-%d", chat, n, try+1)
			mu.Lock()
			deadly[id] = bad
			mu.Unlock()
			a := f.send(f.routers[(n+try)%3], "POST", path, id, "body", time.Until(end), map[string]string{"Model": "m", "Token-Usage": "3450,50", "Prompt-Prefix": chatPrompt(chat, n, bad)})
			answered := a.status == 200 && a.complete
			mu.Lock()
			if !bad && try == 0 {
				sound++
			}
			if !bad && !answered && try == tries-1 {
				lost++
			}
			mu.Unlock()
			if answered {
				return
			}
			time.Sleep(repeatDelay)
		}
	}
	spread(sessionRate, 60*time.Second, func(n int) {
		// Each chat has been answered once before the trouble, and is answered again 15 s
		// after its request with the document.
		if trouble && n >= sessionCount && n%75 == 0 {
			chat(sessionCount*10+n, (n+sessionCount/2)%sessionCount, true)
			return
		}
		chat(n, n%sessionCount, false)
	})
	return f.judgeDeadly(w, deadly, sound, lost), nil
}
