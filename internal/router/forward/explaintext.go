package forward

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteText writes the explanation as text for operators.
func (e Explanation) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(t, name+"\t"+format+"\n", args...)
	}
	row("request", "%s %s%s, id %q", e.Method, e.Host, e.Path, e.RequestID)
	row("configuration", "version %d, confirmed %d ms ago, recent enough for keys: %v", e.Config, e.ConfigAgeMS, e.ConfigFresh)
	if e.Route != "" {
		row("route", "%s (%s), needs a key: %v", e.Route, e.RouteKind, e.NeedsKey)
	}
	if e.Workspace != "" {
		row("workspace", "%s", e.Workspace)
	}
	if e.Service != "" {
		row("service", "%s, priority %d, deadline %d ms, placed by prompt: %v", e.Service, e.Priority, e.DeadlineMS, e.Affine)
	}
	for _, q := range e.Quarantined {
		row("quarantined", "%s, %d crashes, %d ms left, let through as a probe: %v", strings.Join(q.Parts, "+"), q.Crashes, q.LeftMS, q.Probe)
	}
	if c := e.Capacity; c != nil {
		row("capacity", "short: %v, share %.3f, probability of this request %.3f %s", c.Short, c.Share, c.Probability, c.Reason)
		if c.Short {
			row("", "per second: capacity %.1f, demand %.1f, rejected %.1f; %d peers, oldest %d ms; Retry-After of refusals %d ms", c.Capacity, c.Demand, c.Rejected, c.Peers, c.OldestMS, c.RetryAfterMS)
		}
	}
	if r := e.Rollout; r != nil {
		row("roll-out", "to %s: %s, phase %q, share %.3f, orders fresh: %v %s", r.To, r.Stage, r.Phase, r.Share, r.OrdersFresh, r.Reason)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for i, g := range e.Groups {
		if err := writeGroup(w, i, g); err != nil {
			return err
		}
	}
	for _, c := range e.NotReceiving {
		if _, err := fmt.Fprintf(w, "no new work: %s in %s, load %d, %s\n", c.ID, c.FailureDomain, c.Load, strings.Join(c.Reasons, "; ")); err != nil {
			return err
		}
	}
	return e.writeResult(w)
}

func writeGroup(w io.Writer, index int, g ExplainedGroup) error {
	if _, err := fmt.Fprintf(w, "\ngroup %d: upstreams %d, versions %s, explorations %.3f\n", index, g.Upstreams, strings.Join(g.Versions, " "), g.Explored); err != nil {
		return err
	}
	if len(g.Candidates) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "id\tdomain\tversion\tload/bound\town\tslots\tslowdown\tage ms\tfirst event ms\tuncached\tprobability\tremarks")
	for _, c := range g.Candidates {
		remarks := c.Reasons
		if c.Suspect {
			remarks = append([]string{"suspect"}, remarks...)
		}
		if c.Excluded {
			remarks = append([]string{"excluded"}, remarks...)
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d/%s\t%d\t%d\t%s\t%s\t%s\t%s\t%.3f\t%s\n", c.ID, c.FailureDomain, c.Version, c.Load, known(c.Bound > 0, c.Bound), c.OwnLoad, c.Slots,
			known(c.Slowdown > 0, c.Slowdown), known(c.Slowdown > 0 && c.SlowdownAgeMS >= 0, c.SlowdownAgeMS), known(c.FirstEventMS > 0, c.FirstEventMS),
			known(c.FirstEventMS > 0, c.Uncached), c.Probability, strings.Join(remarks, "; "))
	}
	return t.Flush()
}

// known returns a value as text, or a dash if it is not known.
func known(isKnown bool, value any) string {
	if !isKnown {
		return "-"
	}
	return fmt.Sprint(value)
}

func (e Explanation) writeResult(w io.Writer) error {
	var err error
	switch {
	case e.Choice != nil:
		_, err = fmt.Fprintf(w, "\nchosen: %s, rule %s, group %d, version %s\n", e.Choice.Upstream, e.Choice.Rule, e.Choice.Group, e.Choice.Version)
	case e.Refusal != nil:
		_, err = fmt.Fprintf(w, "\nrefused: %d %s, Retry-After %d ms\n", e.Refusal.Status, e.Refusal.Reason, e.Refusal.RetryAfterMS)
	}
	return err
}
