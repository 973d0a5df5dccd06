package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
