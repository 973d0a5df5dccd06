package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/hemlockcroft/hemlockcroft/internal/standin"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/engine"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/hosts"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/kv"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/plain"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/weights"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:          "hemlock-standin",
		Short:        "Fakes of the platform services and the upstreams of hemlockcroft",
		SilenceUsage: true,
	}
	root.SetOut(os.Stdout)
	root.AddCommand(kvCommand(), hostsCommand(), weightsCommand(), engineCommand(), plainCommand(),
		forwardCommand(), loadCommand(), checkCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		stop()
		os.Exit(1)
	}
}

// serverCommand returns a command that serves the handler on --listen.
func serverCommand(name, short string, handler func() (http.Handler, error)) *cobra.Command {
	var listen string
	c := &cobra.Command{
		Use: name, Short: short, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			h, err := handler()
			if err != nil {
				return err
			}
			return standin.Serve(c.Context(), name, listen, h)
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	return c
}

func kvCommand() *cobra.Command {
	var progressInterval time.Duration
	c := serverCommand("kv", "Key-value store with the JSON gateway of etcd v3", func() (http.Handler, error) {
		return kv.New(progressInterval), nil
	})
	c.Flags().DurationVar(&progressInterval, "progress", 2*time.Second, "interval of progress notifications of watches")
	return c
}

func hostsCommand() *cobra.Command {
	var file string
	c := serverCommand("hosts", "Host list", func() (http.Handler, error) {
		list := []hosts.Target{}
		if file != "" {
			text, err := os.ReadFile(file)
			if err != nil {
				return nil, err
			}
			if err = json.Unmarshal(text, &list); err != nil {
				return nil, fmt.Errorf("%s: %w", file, err)
			}
		}
		return hosts.New(list), nil
	})
	c.Flags().StringVar(&file, "file", "", "JSON file with the host list")
	return c
}

func weightsCommand() *cobra.Command {
	var maxDownloads int
	var window time.Duration
	c := serverCommand("weights", "Rate-limited weight store", func() (http.Handler, error) {
		return weights.New(maxDownloads, window), nil
	})
	c.Flags().IntVar(&maxDownloads, "limit", 2, "maximum downloads per window")
	c.Flags().DurationVar(&window, "window", 10*time.Second, "window of the rate limit")
	return c
}

func engineCommand() *cobra.Command {
	o := engine.Defaults()
	c := serverCommand("engine", "Model engine", func() (http.Handler, error) { return engine.New(o), nil })
	f := c.Flags()
	f.StringVar(&o.Model, "model", o.Model, "model")
	f.IntVar(&o.CacheTokens, "cache-tokens", o.CacheTokens, "size of the prefix cache in tokens")
	f.IntVar(&o.ColdLimit, "cold-limit", o.ColdLimit, "maximum running and waiting requests while cold")
	f.IntVar(&o.WarmAfterCompletions, "warm-after", o.WarmAfterCompletions, "completions until warm")
	f.Float64Var(&o.ColdPrefillFactor, "cold-factor", o.ColdPrefillFactor, "factor of the prefill time while cold")
	f.IntVar(&o.MaxBatchSize, "max-batch", o.MaxBatchSize, "maximum running requests; others wait")
	f.DurationVar(&o.PrefillPerToken, "prefill-per-token", o.PrefillPerToken, "prefill time per uncached token")
	f.DurationVar(&o.InterTokenLatency, "between-tokens", o.InterTokenLatency, "time between output tokens while one request runs")
	f.Float64Var(&o.BatchSlowdown, "batch-factor", o.BatchSlowdown, "relative growth of the time between tokens per further running request")
	f.DurationVar(&o.LoadReportLag, "load-lag", o.LoadReportLag, "age of the load report that clients see")
	f.DurationVar(&o.CacheEventLag, "event-lag", o.CacheEventLag, "age at which clients see a cache event")
	f.IntVar(&o.DropEveryNthEvent, "event-gap", o.DropEveryNthEvent, "omit cache events whose sequence number is a multiple of this; 0 for none")
	f.DurationVar(&o.ResumeWindow, "keep", o.ResumeWindow, "how long a finished request can be resumed; negative cancels a request when its connection closes")
	f.DurationVar(&o.HeartbeatInterval, "heartbeat", o.HeartbeatInterval, "interval of heartbeat comments on a stream")
	f.BoolVar(&o.ChecksFencing, "checks-fencing", o.ChecksFencing, "reject config updates with a stale fencing token")
	f.StringVar(&o.WeightsURL, "weights", o.WeightsURL, "base URL of the weight store")
	return c
}

func plainCommand() *cobra.Command {
	var name string
	c := serverCommand("plain", "Worker of a plain service", func() (http.Handler, error) { return plain.New(name), nil })
	c.Flags().StringVar(&name, "name", "plain", "name of the worker in responses")
	return c
}
