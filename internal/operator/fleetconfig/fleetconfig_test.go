package fleetconfig

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// testUpstream stands for the host list entry of an upstream.
type testUpstream struct{ id, service, model, failureDomain string }

func (u testUpstream) ID() string            { return u.id }
func (u testUpstream) Service() string       { return u.service }
func (u testUpstream) Model() string         { return u.model }
func (u testUpstream) FailureDomain() string { return u.failureDomain }

// TestScripts guards against invalid documents that are accepted, wrongly merged
// settings, and faults without the section, key, value and expected value.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var d, previous *Document
		datadriven.RunTest(t, path, func(t *testing.T, c *datadriven.TestData) string {
			arg := func(key string) (s string) {
				if c.HasArg(key) {
					c.ScanArgs(t, key, &s)
				}
				return s
			}
			var next *Document
			var err error
			switch c.Cmd {
			case "parse":
				next, err = Parse([]byte(c.Input))
			case "set":
				next, err = d.WithValue(strings.TrimSpace(c.Input), arg("key"), arg("value"))
			case "except":
				next, err = d.WithException(arg("kind"), arg("name"), strings.TrimSpace(c.Input), arg("author"),
					map[string]string{arg("key"): arg("value")})
			case "remove":
				next, err = d.WithoutException(arg("kind"), arg("name"))
			case "stamp":
				next, err = d.Stamp(7, "c0ffee")
			case "text":
				return string(d.Text())
			case "diff":
				return formatChanges(Diff(previous, d))
			case "upstream":
				return fmt.Sprintf("%+v\n", d.UpstreamPolicy(testUpstream{arg("id"), arg("service"), arg("model"), arg("domain")}))
			case "workspace":
				return fmt.Sprintf("%+v\n", d.Workspace(arg("name")))
			case "class":
				class, known := d.Class(arg("name"))
				return fmt.Sprintf("%+v %t\n", class, known)
			case "domain":
				reason, out := d.DomainEvacuated(arg("name"))
				return fmt.Sprintf("out=%t reason=%q\n", out, reason)
			case "header":
				return fmt.Sprintf("version=%d mark=%s slots=%d/%s\n", d.Version(), d.Mark(), d.WeightSlots(), d.WeightInterval())
			default:
				t.Fatalf("unknown command %s", c.Cmd)
			}
			if err != nil {
				return err.Error() + "\n"
			}
			previous, d = d, next
			return "ok\n"
		})
	})
}

func formatChanges(changes []Change) string {
	var b strings.Builder
	for _, c := range changes {
		fmt.Fprintln(&b, c)
	}
	return b.String()
}

// drawValues draws valid values for some of the keys that are allowed in a
// section.
func drawValues(t *rapid.T, scope scope, label string) map[string]string {
	samples := map[string][]string{
		"load_factor": {"1.25", "2", "3.5"}, "load_floor": {"1", "9"}, "cold_ttft_factor": {"2", "8"},
		"queue_length": {"0", "5"}, "queue_deadline": {"0s", "500ms", "1m"}, "candidates": {"1", "4"},
		"resume": {"true", "false"}, "checks_fencing": {"true", "false"}, "disabled": {"true", "false"},
		"model": {"loom", "org/x"}, "weight": {"2", "30"}, "class": {"batch", "interactive"}, "out": {"true"},
	}
	values := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(samples)) {
		required := name == "out"
		if keySchemas[name].scope&scope != 0 && (required || rapid.Bool().Draw(t, label+name)) {
			values[name] = rapid.SampledFrom(samples[name]).Draw(t, label+name+" value")
		}
	}
	return values
}

// TestMergeMatchesOverlay guards against a merge that applies sections in the
// wrong order or omits a value. It compares the merged settings with a map into
// which the written values are copied in the expected order.
func TestMergeMatchesOverlay(t *testing.T) {
	layers := []struct {
		title string
		scope scope
	}{
		{`defaults`, inDefaults},
		{`service "drafter"`, inService},
		{`model "loom"`, inModel},
		{`exception "service:drafter"`, inServiceException},
		{`exception "failure_domain:dalton-a"`, inDomainException},
		{`exception "upstream:drafter-1"`, inUpstreamException},
	}
	rapid.Check(t, func(t *rapid.T) {
		overlay := map[string]string{
			"load_factor": "1.5", "load_floor": "4", "cold_ttft_factor": "4", "queue_length": "16", "queue_deadline": "2s",
			"candidates": "3", "resume": "false", "checks_fencing": "false", "disabled": "false", "model": "", "out": "false",
		}
		var sections []string
		for _, layer := range layers {
			if !rapid.Bool().Draw(t, layer.title) {
				continue
			}
			values := drawValues(t, layer.scope, layer.title)
			maps.Copy(overlay, values)
			text := "[" + layer.title + "]\n"
			if strings.HasPrefix(layer.title, "exception") {
				text += "reason = test\n"
			}
			for k, v := range values {
				text += k + " = " + v + "\n"
			}
			sections = append(sections, text)
		}
		// The order of the sections in the file must have no effect.
		shuffled := rapid.Permutation(sections).Draw(t, "order")
		d, err := Parse([]byte(strings.Join(shuffled, "")))
		if err != nil {
			t.Fatal(err)
		}
		p := d.UpstreamPolicy(testUpstream{"drafter-1", "drafter", "loom", "dalton-a"})
		deadline, _ := time.ParseDuration(overlay["queue_deadline"])
		got := map[string]string{
			"load_factor": fmt.Sprint(p.LoadFactor()), "load_floor": strconv.Itoa(p.LoadFloor()),
			"cold_ttft_factor": fmt.Sprint(p.ColdTTFTFactor()), "queue_length": strconv.Itoa(p.QueueLength()),
			"queue_deadline": p.QueueDeadline().String(), "candidates": strconv.Itoa(p.Candidates()),
			"resume": fmt.Sprint(p.Resumable()), "checks_fencing": fmt.Sprint(p.ChecksFencing()),
			"disabled": fmt.Sprint(p.Disabled()), "model": p.Model(), "out": fmt.Sprint(p.DomainEvacuated()),
		}
		overlay["queue_deadline"] = deadline.String()
		for k, v := range got {
			if overlay[k] != v {
				t.Fatalf("%s = %s, expected %s", k, v, overlay[k])
			}
		}
	})
}

// FuzzParse guards against input that makes Parse panic, and against accepted
// documents that cannot be edited or whose values change when an edit writes
// them.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[defaults]\nload_factor = 1.5\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Parse(text)
		if err != nil {
			var faults Faults
			if !errors.As(err, &faults) || len(faults) == 0 {
				t.Fatalf("error without faults: %v", err)
			}
			return
		}
		stamped, err := d.Stamp(3, "ab")
		if err != nil {
			if len(text) > MaxBytes/2 {
				return
			}
			t.Fatalf("accepted document cannot be edited: %v", err)
		}
		if changes := Diff(d, stamped); len(changes) > 0 {
			t.Fatalf("writing the document changed it: %v", changes)
		}
		again, err := Parse(stamped.Text())
		if err != nil || !bytes.Equal(again.Text(), stamped.Text()) || again.Version() != 3 {
			t.Fatalf("written document does not read back: %v", err)
		}
	})
}

// TestReasons guards against a reason whose special characters change other parts
// of the document, or that differs after it is written and parsed.
func TestReasons(t *testing.T) {
	base, err := Parse([]byte("# why\n[defaults]\nload_floor = 5\n"))
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		special := rapid.SampledFrom([]string{"", "\n", "[fleet]", "=", "`", `"""`, `"`, "'", "#", ";", "\\", "%(x)s", " ", "\r", "\u2028"})
		reason := rapid.String().Draw(t, "text") + special.Draw(t, "special") + rapid.String().Draw(t, "more") + special.Draw(t, "last")
		d, err := base.WithException(KindWorkspace, "loom", reason, "ana", map[string]string{"weight": "2"})
		if err != nil {
			return
		}
		got, _ := d.Exception(KindWorkspace, "loom")
		if changes := Diff(base, d); len(changes) != 3 || got["reason"] != reason {
			t.Fatalf("reason %q became %q: %v", reason, got["reason"], changes)
		}
	})
}

// TestExamples guards against example documents that hemlockctl would reject or
// whose values change when an edit writes them.
func TestExamples(t *testing.T) {
	names, err := filepath.Glob("../../../examples/*/fleet.ini")
	if err != nil || len(names) != 2 {
		t.Fatalf("%v %v", names, err)
	}
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		d, err := Parse(text)
		if err != nil {
			t.Fatalf("%s:\n%v", name, err)
		}
		if n := len(d.Exceptions(KindWorkspace)); n != 10 {
			t.Errorf("%s: %d workspaces with an exception", name, n)
		}
		stamped, err := d.Stamp(1, "aa")
		if err != nil || len(Diff(d, stamped)) > 0 {
			t.Errorf("%s does not write back: %v", name, err)
		}
	}
}

// TestKeys guards against accepting a key that differs from the issued one, even
// if only in its encoding, and against issuing keys for invalid workspace names.
func TestKeys(t *testing.T) {
	secret := []byte("loopback")
	key, err := IssueKey(secret, "loom-east", 2)
	if err != nil {
		t.Fatal(err)
	}
	if w, g, ok := CheckKey(secret, key); !ok || w != "loom-east" || g != 2 {
		t.Errorf("%s: %s %d %t", key, w, g, ok)
	}
	for _, bad := range []string{
		"", "hc", key + "A", key[:len(key)-1], strings.Replace(key, ".2.", ".02.", 1), strings.Replace(key, ".2.", ".+2.", 1),
		strings.Replace(key, ".2.", ".3.", 1), strings.Replace(key, "east", "west", 1), strings.Replace(key, "hc", "HC", 1), key + "=",
	} {
		if _, _, ok := CheckKey(secret, bad); ok {
			t.Errorf("accepted %q", bad)
		}
	}
	if _, _, ok := CheckKey([]byte("other"), key); ok {
		t.Error("accepted under another secret")
	}
	for _, bad := range []string{"", "Loom", "a.b", "-a", "a/b", strings.Repeat("a", 64)} {
		if _, err := IssueKey(secret, bad, 1); !errors.Is(err, ErrBadWorkspace) {
			t.Errorf("workspace %q: %v", bad, err)
		}
	}
	if _, err := IssueKey(nil, "a", 1); !errors.Is(err, ErrNoSecret) {
		t.Error(err)
	}
}
