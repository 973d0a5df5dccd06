// Command hemlock-edge runs the router on the users' platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/hemlockcroft/hemlockcroft/internal/host/edge"
	"github.com/hemlockcroft/hemlockcroft/internal/host/logs"
	"github.com/hemlockcroft/hemlockcroft/platform"
)

func main() {
	if err := newCommand(edge.ReloadSignals()).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newCommand(reload <-chan os.Signal) *cobra.Command {
	var path string
	var check bool
	c := &cobra.Command{
		Use:           "hemlock-edge",
		Short:         "Route requests of callers on the users' platform",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := edge.LoadSettings(path)
			if err != nil || check {
				return err
			}
			return run(c.Context(), s, path, reload)
		},
	}
	c.Flags().StringVar(&path, "settings", platform.SettingsPath(), "settings file in INI")
	c.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	c.CompletionOptions.DisableDefaultCmd = true
	c.AddCommand(newExplainCommand())
	c.SetContext(context.Background())
	return c
}

// run serves until SIGTERM or SIGINT. The log writer is stopped after the router, so
// that the router's last lines are written.
func run(ctx context.Context, s *edge.Settings, path string, reload <-chan os.Signal) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logWriter := logs.NewWriter(os.Stdout)
	logCtx, stopLog := context.WithCancel(context.Background())
	logDone := make(chan error, 1)
	go func() { logDone <- logWriter.Run(logCtx) }()
	log := logs.NewLogger(logWriter)
	router := edge.New(s, platform.NewStore(s.StoreAddress(), log), platform.Headers{}, log)
	reloadDone := edge.WatchReload(ctx, reload, path, log)
	err := router.Run(ctx)
	stop()
	<-reloadDone
	stopLog()
	<-logDone
	return err
}
