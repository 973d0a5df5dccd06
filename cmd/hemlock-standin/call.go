package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/hemlockcroft/hemlockcroft/internal/standin"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/forward"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/loadgen"
)

func forwardCommand() *cobra.Command {
	var listen, to, control string
	c := &cobra.Command{
		Use: "forward", Short: "TCP forwarder with fault injection", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			listener, err := net.Listen("tcp", listen)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithCancel(c.Context())
			defer cancel()
			f := forward.New(to)
			forwardErr := make(chan error, 1)
			go func() {
				defer cancel()
				forwardErr <- f.Run(ctx, listener)
			}()
			err = standin.Serve(ctx, "forward", control, f)
			cancel()
			if e := <-forwardErr; e != nil {
				return e
			}
			return err
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	c.Flags().StringVar(&to, "to", "", "address to forward to")
	c.Flags().StringVar(&control, "control", "127.0.0.1:0", "address of the HTTP server with /faults and /stats")
	return c
}

func loadCommand() *cobra.Command {
	o := loadgen.Defaults()
	o.OpenStreams = loadgen.NewOpenStreams()
	var refusedFile, control string
	c := &cobra.Command{
		Use: "load", Short: "Load generator of returning chats", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			c.Printf("seed=%d\n", o.Seed)
			result, err := runLoad(c.Context(), o, control)
			if err != nil {
				return err
			}
			if err = result.Write(c.OutOrStdout()); err != nil {
				return err
			}
			if refusedFile != "" {
				text := strings.Join(result.RefusedIDs(), "\n")
				if err = os.WriteFile(refusedFile, []byte(text), 0o600); err != nil {
					return err
				}
			}
			if wrong := result.Count("wrong"); wrong > 0 {
				return fmt.Errorf("%d completions were wrong", wrong)
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringSliceVar(&o.RouterAddresses, "address", nil, "address of a router (repeatable)")
	f.StringSliceVar(&o.ReadinessURLs, "ready", nil, "readiness URL of each router, in the order of the addresses; routers that are not ready get no requests")
	f.StringVar(&control, "control", "", "address of the HTTP server with the streams in progress by router; empty for none")
	f.StringVar(&refusedFile, "refused-file", "", "output file for the IDs of requests that were rejected as not executed")
	f.StringToStringVar(&o.APIKeys, "key", nil, "workspace=KEY (repeatable)")
	f.StringVar(&o.Model, "model", o.Model, "model")
	f.IntVar(&o.MaxRequests, "count", o.MaxRequests, "maximum number of requests")
	f.DurationVar(&o.MaxDuration, "duration", o.MaxDuration, "maximum duration of the run")
	f.DurationVar(&o.RequestTimeout, "timeout", o.RequestTimeout, "timeout of one request")
	f.IntVar(&o.Workers, "workers", o.Workers, "number of concurrent requests")
	f.IntVar(&o.ChatsPerWorkspace, "chats", o.ChatsPerWorkspace, "conversations per workspace")
	f.IntVar(&o.TurnsPerChat, "turns", o.TurnsPerChat, "turns of a conversation before a new one takes its place")
	f.IntVar(&o.SystemWords, "brief-words", o.SystemWords, "words of the system message")
	f.IntVar(&o.UserWords, "turn-words", o.UserWords, "words of each user message")
	f.IntVar(&o.CompletionWords, "answer-words", o.CompletionWords, "words of each completion; 0 for the engine's default")
	f.DurationVar(&o.ThinkTime, "think", o.ThinkTime, "pause between the requests of a worker")
	f.Uint64Var(&o.Seed, "seed", o.Seed, "seed of the random choices")
	f.Float64Var(&o.WorkspaceSkew, "skew", o.WorkspaceSkew, "Zipf exponent of the workspaces' shares of the requests; 0 for equal shares")
	f.StringVar(&o.SurgeWorkspace, "surge", o.SurgeWorkspace, "workspace of the surge in load")
	f.DurationVar(&o.SurgeStart, "surge-at", o.SurgeStart, "start of the surge")
	f.DurationVar(&o.SurgeDuration, "surge-for", o.SurgeDuration, "duration of the surge")
	f.StringVar(&o.Mode, "mode", o.Mode, "routers, or a naive routing that sends requests to the engines: rendezvous or least-loaded")
	f.BoolVar(&o.Failover, "failover", o.Failover, "try another router if one refuses the connection")
	f.StringVar(&o.HostListURL, "hosts", o.HostListURL, "URL of the host list, for the naive routings")
	f.StringSliceVar(&o.EngineURLs, "engine", nil, "base URL of an engine whose load is sampled for the load skew (repeatable)")
	f.DurationSliceVar(&o.PhaseStarts, "mark", nil, "time since the start at which a new phase of the summary begins (repeatable)")
	f.IntVar(&o.SurgeWorkers, "surge-workers", o.SurgeWorkers, "additional concurrent requests during the surge")
	return c
}

// runLoad runs the load generator and serves its streams in progress at the address
// control, unless that is empty.
func runLoad(ctx context.Context, o loadgen.Options, control string) (*loadgen.Result, error) {
	if control == "" {
		return loadgen.Run(ctx, o)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	serveErr := make(chan error, 1)
	go func() {
		defer cancel()
		serveErr <- standin.Serve(ctx, "load", control, o.OpenStreams)
	}()
	result, err := loadgen.Run(ctx, o)
	cancel()
	return result, errors.Join(err, <-serveErr)
}

// timedCheckCommand returns a subcommand of check that runs with a timeout.
func timedCheckCommand(name, short string, run func(ctx context.Context, c *cobra.Command) error) *cobra.Command {
	var timeout time.Duration
	c := &cobra.Command{
		Use: name, Short: short, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), timeout)
			defer cancel()
			return run(ctx, c)
		},
	}
	c.Flags().DurationVar(&timeout, "timeout", 20*time.Second, "timeout of the check")
	return c
}

func checkCommand() *cobra.Command {
	c := &cobra.Command{Use: "check", Short: "Checks of the demo"}
	c.AddCommand(checkReadyCommand(), checkChatCommand(), checkOrderCommand(), checkSumCommand())
	return c
}

func checkReadyCommand() *cobra.Command {
	var urls []string
	c := timedCheckCommand("ready", "Waits until each URL responds with status 200", func(ctx context.Context, _ *cobra.Command) error {
		return loadgen.WaitReady(ctx, urls)
	})
	c.Flags().StringSliceVar(&urls, "url", nil, "URL (repeatable)")
	return c
}

func checkChatCommand() *cobra.Command {
	var chat loadgen.ChatRequest
	var addresses []string
	var turns, minCached int
	c := timedCheckCommand("chat", "Sends the turns of one chat and checks the completions", func(ctx context.Context, c *cobra.Command) error {
		cached, err := loadgen.RunChat(ctx, chat, addresses, turns)
		if err == nil && cached < minCached {
			err = fmt.Errorf("%d cached tokens in turn %d, want at least %d", cached, turns, minCached)
		}
		if err == nil {
			c.Printf("chat=%s stream=%t turns=%d cached_tokens=%d\n", chat.ChatID, chat.Stream, turns, cached)
		}
		return err
	})
	f := c.Flags()
	f.StringSliceVar(&addresses, "address", nil, "address of a router (repeatable); the turns use them in rotation")
	f.StringVar(&chat.APIKey, "key", "", "bearer key")
	f.StringVar(&chat.ChatID, "chat", "check-1", "chat ID")
	f.StringVar(&chat.Model, "model", loadgen.Defaults().Model, "model")
	f.BoolVar(&chat.Stream, "stream", false, "stream the completions")
	f.IntVar(&turns, "turns", 1, "turns")
	f.IntVar(&minCached, "min-cached", 0, "minimum number of cached tokens in the last turn")
	return c
}

func checkOrderCommand() *cobra.Command {
	var addresses, workers []string
	var apiKey, path, idempotencyKey string
	c := timedCheckCommand("order", "Sends the same call to each router and checks that it was executed once", func(ctx context.Context, c *cobra.Command) error {
		err := loadgen.CheckExactlyOnce(ctx, addresses, apiKey, path, idempotencyKey, workers)
		if err == nil {
			c.Printf("order=%s sent=%d executed=1\n", idempotencyKey, len(addresses))
		}
		return err
	})
	f := c.Flags()
	f.StringSliceVar(&addresses, "address", nil, "address of a router (repeatable); may contain duplicates")
	f.StringSliceVar(&workers, "worker", nil, "base URL of a worker of the service (repeatable)")
	f.StringVar(&apiKey, "key", "", "bearer key")
	f.StringVar(&path, "path", "/services/orderdesk/orders", "path of the call")
	f.StringVar(&idempotencyKey, "idempotency-key", "order-1", "idempotency key")
	return c
}

func checkSumCommand() *cobra.Command {
	var engines []string
	var field string
	c := timedCheckCommand("sum", "Prints the sum of a field of the engines' stats", func(ctx context.Context, c *cobra.Command) error {
		sum, err := loadgen.SumStats(ctx, engines, field)
		if err == nil {
			c.Println(sum)
		}
		return err
	})
	c.Flags().StringSliceVar(&engines, "engine", nil, "base URL of an engine (repeatable)")
	c.Flags().StringVar(&field, "field", "started", "field of the stats")
	return c
}
