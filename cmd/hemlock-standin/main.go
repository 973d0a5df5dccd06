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
		Short:        "Stand-ins for the platform and the upstreams of hemlockcroft",
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

// serverCommand returns a command that serves what handler returns on --listen.
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
	c := serverCommand("kv", "Key-value service with the JSON gateway of etcd v3", func() (http.Handler, error) {
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
	c.Flags().StringVar(&file, "file", "", "JSON file with the list")
	return c
}

func weightsCommand() *cobra.Command {
	var maxDownloads int
	var window time.Duration
	c := serverCommand("weights", "Rate-limited weight store", func() (http.Handler, error) {
		return weights.New(maxDownloads, window), nil
	})
	c.Flags().IntVar(&maxDownloads, "limit", 2, "loads per window")
	c.Flags().DurationVar(&window, "window", 10*time.Second, "window of the limit")
	return c
}

func engineCommand() *cobra.Command {
	o := engine.Defaults()
	c := serverCommand("engine", "Model engine", func() (http.Handler, error) { return engine.New(o), nil })
	f := c.Flags()
	f.StringVar(&o.Model, "model", o.Model, "model")
	f.IntVar(&o.CacheTokens, "cache-tokens", o.CacheTokens, "size of the prefix cache in tokens")
	f.IntVar(&o.ColdLimit, "cold-limit", o.ColdLimit, "most requests while cold")
	f.IntVar(&o.WarmAfterCompletions, "warm-after", o.WarmAfterCompletions, "completions until warm")
	f.Float64Var(&o.ColdPrefillFactor, "cold-factor", o.ColdPrefillFactor, "slowdown of the prefill while cold")
	f.IntVar(&o.MaxBatchSize, "max-batch", o.MaxBatchSize, "requests that run at once; others wait")
	f.DurationVar(&o.PrefillPerToken, "prefill-per-token", o.PrefillPerToken, "prefill time per uncached token")
	f.DurationVar(&o.InterTokenLatency, "between-tokens", o.InterTokenLatency, "time between tokens of a single request")
	f.Float64Var(&o.BatchSlowdown, "batch-factor", o.BatchSlowdown, "growth of the time between tokens per further request")
	f.DurationVar(&o.LoadReportLag, "load-lag", o.LoadReportLag, "age of load reports")
	f.DurationVar(&o.CacheEventLag, "event-lag", o.CacheEventLag, "age at which cache events appear")
	f.IntVar(&o.DropEveryNthEvent, "event-gap", o.DropEveryNthEvent, "every so many cache events one is lost; 0 for none")
	f.DurationVar(&o.ResumeWindow, "keep", o.ResumeWindow, "time for resume after a lost connection; negative to cancel at once")
	f.DurationVar(&o.HeartbeatInterval, "heartbeat", o.HeartbeatInterval, "interval of comments on a stream")
	f.BoolVar(&o.ChecksFencing, "checks-fencing", o.ChecksFencing, "rejects orders with a stale fencing token")
	f.StringVar(&o.WeightsURL, "weights", o.WeightsURL, "base URL of the weight store")
	return c
}

func plainCommand() *cobra.Command {
	var name string
	c := serverCommand("plain", "Worker of a plain service", func() (http.Handler, error) { return plain.New(name), nil })
	c.Flags().StringVar(&name, "name", "plain", "name of the worker in its answers")
	return c
}
