// Command hemlockd runs one router of the fleet.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/hemlockcroft/hemlockcroft/internal/host/daemon"
	"github.com/hemlockcroft/hemlockcroft/internal/operator/settings"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var check bool
	c := &cobra.Command{
		Use:           "hemlockd SETTINGS.ini",
		Short:         "Route requests of callers to upstreams",
		Args:          cobra.ExactArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, args []string) error {
			s, err := settings.Load(args[0])
			if err != nil || check {
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return daemon.Run(ctx, s)
		},
	}
	c.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	c.SetContext(context.Background())
	return c
}
