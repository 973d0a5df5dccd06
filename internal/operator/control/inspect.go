package control

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

	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleet"
)

// routerStatus is what hemlockctl reads of a router's status.
type routerStatus struct {
	Version uint64 `json:"version"`
	State   string `json:"state"`
}

// queryRouters returns the answers of all routers to a request.
func (c *cli) queryRouters(ctx context.Context, path string, query url.Values) ([]routerResponse, error) {
	list, err := c.hostList(ctx)
	if err != nil {
		return nil, err
	}
	targets := c.targetRouters(list)
	if len(targets) == 0 {
		return nil, errors.New("no routers known, give --hosts or --routers")
	}
	return c.routerClient.getAll(ctx, targets, path, query), nil
}

// status shows which version each router holds, and the store's version if it
// can be read.
func (c *cli) status(ctx context.Context, _ []string) error {
	responses, err := c.queryRouters(ctx, "/status", nil)
	if err != nil {
		return err
	}
	newestVersion := c.printStoreVersion(ctx)
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ROUTER\tFAILURE DOMAIN\tSTATE\tVERSION")
	routersByVersion := map[uint64]int{}
	for _, a := range responses {
		var s routerStatus
		if a.err == nil {
			a.err = json.Unmarshal(a.body, &s)
		}
		if a.err != nil {
			fmt.Fprintf(table, "%s\t%s\tunknown\t%s\n", a.router.id, a.router.failureDomain, a.err)
			continue
		}
		newestVersion = max(newestVersion, s.Version)
		routersByVersion[s.Version]++
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\n", a.router.id, a.router.failureDomain, s.State, s.Version)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	c.printf("%d of %d routers hold version %d", routersByVersion[newestVersion], len(responses), newestVersion)
	return nil
}

// printStoreVersion shows and returns the version in the store, 0 if no store was
// named or it cannot be read.
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

// explain shows the decisions about a request or an upstream that routers
// remember.
func (c *cli) explain(ctx context.Context, _ []string) error {
	query := url.Values{}
	if c.request != "" {
		query.Set("request", c.request)
	} else {
		query.Set("upstream", c.upstream)
	}
	responses, err := c.queryRouters(ctx, "/explain", query)
	if err != nil {
		return err
	}
	found := 0
	for _, a := range responses {
		var status *statusError
		switch {
		case errors.As(a.err, &status) && status.status == http.StatusNotFound:
		case a.err != nil:
			c.printf("%s: %s", a.router.id, a.err)
		case !emptyBodies[string(bytes.TrimSpace(a.body))]:
			found++
			c.printf("%s:\n%s", a.router.id, indent(a.body))
		}
	}
	if found == 0 {
		return errors.New("no router remembers a decision")
	}
	return nil
}

// emptyBodies are the bodies by which a router says that it remembers nothing.
var emptyBodies = map[string]bool{"": true, "[]": true, "null": true}

// indent returns JSON in indented form, and other text as it is.
func indent(body []byte) string {
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
	if !fleet.ValidWorkspace(args[0]) {
		return fleet.ErrBadWorkspace
	}
	generation := c.generation
	if generation == 0 {
		d, err := c.readDocument(ctx)
		if err != nil {
			return fmt.Errorf("generation of the workspace's keys: %w", err)
		}
		generation = d.Workspace(args[0]).KeyGeneration()
	}
	key, err := fleet.IssueKey([]byte(strings.TrimSpace(string(secret))), args[0], generation)
	if err != nil {
		return err
	}
	c.printf("%s", key)
	return nil
}
