package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleetconfig"
)

// routerStatus holds the fields of a router's /status response that hemlockctl
// uses.
type routerStatus struct {
	Version uint64 `json:"version"`
	State   string `json:"state"`
}

// queryRouters sends a GET request to all routers and returns their responses,
// ordered by router.
func (c *cli) queryRouters(ctx context.Context, path string, query url.Values) ([]routerResponse, error) {
	list, err := c.hostList(ctx)
	if err != nil {
		return nil, err
	}
	targets := c.targetRouters(list)
	if len(targets) == 0 {
		return nil, errors.New("no routers known, use --hosts or --routers")
	}
	return c.routerClient.getAll(ctx, targets, path, query), nil
}

// status prints the configuration version of each router, and that of the store
// if it can be read.
func (c *cli) status(ctx context.Context, _ []string) error {
	responses, err := c.queryRouters(ctx, "/status", nil)
	if err != nil {
		return err
	}
	newestVersion := c.printStoreVersion(ctx)
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ROUTER\tFAILURE DOMAIN\tSTATE\tVERSION")
	routersByVersion := map[uint64]int{}
	for _, r := range responses {
		var s routerStatus
		if r.err == nil {
			r.err = json.Unmarshal(r.body, &s)
		}
		if r.err != nil {
			fmt.Fprintf(table, "%s\t%s\tunknown\t%s\n", r.router.id, r.router.failureDomain, r.err)
			continue
		}
		newestVersion = max(newestVersion, s.Version)
		routersByVersion[s.Version]++
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\n", r.router.id, r.router.failureDomain, s.State, s.Version)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	c.printf("%d of %d routers hold version %d", routersByVersion[newestVersion], len(responses), newestVersion)
	return nil
}

// printStoreVersion prints and returns the version in the store, 0 if no store
// was given or it cannot be read.
func (c *cli) printStoreVersion(ctx context.Context) uint64 {
	if len(c.storeURLs) == 0 {
		return 0
	}
	d, err := c.readDocument(ctx)
	if err != nil {
		c.printf("store: %s", err)
		return 0
	}
	c.printf("store: version %d", d.Version())
	return d.Version()
}

// explain prints the decisions about a request or an upstream that routers have
// recorded.
func (c *cli) explain(ctx context.Context, _ []string) error {
	query := url.Values{}
	if c.requestID != "" {
		query.Set("request", c.requestID)
	} else {
		query.Set("upstream", c.upstreamID)
	}
	responses, err := c.queryRouters(ctx, "/explain", query)
	if err != nil {
		return err
	}
	found := 0
	for _, r := range responses {
		var status *statusError
		switch {
		case errors.As(r.err, &status) && status.status == http.StatusNotFound:
		case r.err != nil:
			c.printf("%s: %s", r.router.id, r.err)
		case !emptyBodies[string(bytes.TrimSpace(r.body))]:
			found++
			c.printf("%s:\n%s", r.router.id, indentJSON(r.body))
		}
	}
	if found == 0 {
		return errors.New("no router has recorded a decision")
	}
	return nil
}

// emptyBodies are the bodies of /explain responses without a decision.
var emptyBodies = map[string]bool{"": true, "[]": true, "null": true}

// indentJSON returns JSON indented and other text unchanged.
func indentJSON(body []byte) string {
	var text bytes.Buffer
	if json.Indent(&text, bytes.TrimSpace(body), "", "  ") != nil {
		return string(body)
	}
	return text.String()
}

// keyIssue prints a bearer key for a workspace.
func (c *cli) keyIssue(ctx context.Context, args []string) error {
	secret, err := os.ReadFile(c.secretFile)
	if err != nil {
		return err
	}
	if !fleetconfig.ValidWorkspace(args[0]) {
		return fleetconfig.ErrBadWorkspace
	}
	generation := c.generation
	if generation == 0 {
		d, err := c.readDocument(ctx)
		if err != nil {
			return fmt.Errorf("generation of the workspace's keys: %w", err)
		}
		generation = d.Workspace(args[0]).KeyGeneration()
	}
	key, err := fleetconfig.IssueKey([]byte(strings.TrimSpace(string(secret))), args[0], generation)
	if err != nil {
		return err
	}
	c.printf("%s", key)
	return nil
}
