package daemon

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleetconfig"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/engine"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/loadgen"
)

// startRouter runs one router with one engine in this process and returns the
// callers' address.
func startRouter(b *testing.B) string {
	b.Helper()
	options := engine.Defaults()
	options.ColdLimit, options.MaxBatchSize, options.PrefillPerToken, options.InterTokenLatency = 1000, 1000, 0, 0
	engineServer := httptest.NewServer(engine.New(options))
	b.Cleanup(engineServer.Close)
	callers, _ := startFleet(b, startStore(b), 1, []string{strings.TrimPrefix(engineServer.URL, "http://")})
	return callers[0]
}

// BenchmarkChat sends streamed chats of 5 and 200 tokens through a router. Time and
// allocations include the client and the engine, which run in the same process; a
// profile separates them by package.
func BenchmarkChat(b *testing.B) {
	address := startRouter(b)
	key, err := fleetconfig.IssueKey([]byte(testSecret), "w", 1)
	if err != nil {
		b.Fatal(err)
	}
	var chat atomic.Int64
	send := func(words int) error {
		messages := []engine.Message{{Role: "user", Content: "Draft." + engine.LengthRequest(words)}}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		reply, err := loadgen.SendChat(ctx, http.DefaultClient, loadgen.ChatRequest{
			Address: address, APIKey: key, ChatID: fmt.Sprint(chat.Add(1)), Model: engine.Defaults().Model, Messages: messages, Stream: true,
		})
		if err == nil && !reply.Correct(messages) {
			err = fmt.Errorf("status %d, executed %q, complete %v", reply.Status, reply.Executed, reply.Complete)
		}
		return err
	}
	// A new owner admits no requests at first, so the first one is retried.
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		if err = send(1); err == nil {
			break
		}
		if time.Now().After(deadline) {
			b.Fatal(err)
		}
	}
	for _, words := range []int{5, 200} {
		b.Run(fmt.Sprintf("tokens=%d", words), func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism(2)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := send(words); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}
