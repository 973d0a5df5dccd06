package main

import (
	"encoding/json"
	"net/http"

	"github.com/spf13/cobra"

	"github.com/hemlockcroft/hemlockcroft/internal/host/edge"
)

// newExplainCommand returns the subcommand that asks a router where a request would go.
func newExplainCommand() *cobra.Command {
	var router string
	var asJSON bool
	var q edge.Question
	c := &cobra.Command{
		Use:   "explain",
		Short: "Explain where a request would go now, and why, without sending it",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			explanation, err := edge.AskExplanation(c.Context(), router, q)
			if err != nil {
				return err
			}
			if asJSON {
				encoder := json.NewEncoder(c.OutOrStdout())
				encoder.SetIndent("", "  ")
				return encoder.Encode(explanation)
			}
			return explanation.WriteText(c.OutOrStdout())
		},
	}
	f := c.Flags()
	f.StringVar(&router, "router", "", "metrics listener of the router, as IP:PORT")
	f.StringVar(&q.Method, "method", http.MethodGet, "method of the request")
	f.StringVar(&q.Host, "host", "", "host of the request")
	f.StringVar(&q.Path, "path", "", "path of the request")
	f.StringArrayVar(&q.Header, "header", nil, "header field of the request, \"Name: value\" (repeatable)")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	for _, name := range []string{"router", "host", "path"} {
		// An error means that there is no such flag.
		_ = c.MarkFlagRequired(name)
	}
	return c
}
