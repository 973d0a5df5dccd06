package engine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// TestSequencer guards against chunks that are delivered twice, out of order, or
// in the response of another attempt. The script describes each failure.
func TestSequencer(t *testing.T) {
	var delivered []string
	newAttempt := func(attempt uint32) *sequencer {
		return newSequencer(attempt, func(_ uint64, data []byte) error {
			delivered = append(delivered, string(data))
			return nil
		})
	}
	s := newAttempt(1)
	datadriven.RunTest(t, "testdata/filter", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "reset":
			attempt := uint64(1)
			d.MaybeScanArgs(t, "attempt", &attempt)
			s = newAttempt(uint32(attempt))
		case "resume":
			s.prepareResume()
			return s.lastEventID()
		case "wait":
			readTime, err := time.ParseDuration(d.CmdArgs[0].Key)
			if err != nil {
				t.Fatal(err)
			}
			s.addReadTime(readTime)
			timeout, gap := s.nextReadTimeout(defaultReadTimeout)
			return fmt.Sprintf("%v gap=%v", timeout, gap)
		case "add":
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				id, data, _ := strings.Cut(strings.TrimSpace(line), " ")
				delivered = nil
				dropped := s.dropped
				err := s.add([]byte(id), []byte(data))
				fmt.Fprintf(&out, "%s: %s\n", id, addResult(s, err, dropped, delivered))
			}
			return out.String()
		}
		return ""
	})
}

func addResult(s *sequencer, err error, dropped int, delivered []string) string {
	text := strings.Join(delivered, " ")
	switch {
	case err != nil:
		return err.Error()
	case s.dropped > dropped:
		return "dropped"
	case s.done && text == "":
		return "done"
	case s.done:
		return "passed " + text + " done"
	case text == "":
		return "held"
	}
	return "passed " + text
}

// TestSequencerDisorder feeds random disorder (late, repeated and lost chunks, and
// those of another attempt) to the sequencer and to a naive relay that delivers
// all chunks as they arrive. It guards against mixed responses, and against
// truncated ones that are reported as complete.
func TestSequencerDisorder(t *testing.T) {
	runs, complete, broken, naiveWrong := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		runs++
		length := rapid.IntRange(1, 90).Draw(t, "length")
		var sent [][2]string
		want := ""
		for seq := 1; seq <= length; seq++ {
			data := fmt.Sprintf("<%d>", seq)
			want += data
			sent = append(sent, [2]string{fmt.Sprintf("2:%d", seq), data})
		}
		sent = append(sent, [2]string{fmt.Sprintf("2:%d", length+1), "[DONE]"})
		lost := false
		for range rapid.IntRange(0, 8).Draw(t, "faults") {
			at := rapid.IntRange(0, len(sent)-1).Draw(t, "at")
			to := rapid.IntRange(0, len(sent)-1).Draw(t, "to")
			switch rapid.SampledFrom([]string{"repeat", "foreign", "move", "lose"}).Draw(t, "fault") {
			case "repeat":
				sent = slices.Insert(sent, to, sent[at])
			case "foreign":
				sent = slices.Insert(sent, to, [2]string{fmt.Sprintf("1:%d", at+1), "<foreign>"})
			case "move":
				moved := sent[at]
				sent = slices.Insert(slices.Delete(sent, at, at+1), to, moved)
			case "lose":
				lostChunk := sent[at]
				sent = slices.DeleteFunc(sent, func(c [2]string) bool { return c == lostChunk })
				lost = lost || lostChunk[0][0] == '2'
			}
			if len(sent) == 0 {
				break
			}
		}
		got, naive := "", ""
		s := newSequencer(2, func(_ uint64, data []byte) error {
			got += string(data)
			return nil
		})
		var addErr error
		for _, c := range sent {
			if !strings.HasSuffix(naive, "[DONE]") {
				naive += c[1]
			}
			if addErr == nil {
				addErr = s.add([]byte(c[0]), []byte(c[1]))
			}
		}
		switch {
		case !strings.HasPrefix(want, got):
			t.Fatalf("delivered %s of %s", got, want)
		case s.done && (got != want || lost):
			t.Fatalf("complete with %s of %s", got, want)
		case !s.done && addErr == nil && !lost:
			t.Fatalf("all chunks arrived, but the stream is not complete: %s", got)
		}
		if s.done {
			complete++
		} else {
			broken++
		}
		if strings.HasSuffix(naive, "[DONE]") && naive != want+"[DONE]" {
			naiveWrong++
		}
	})
	t.Logf("%d runs: %d complete, %d broken; naive relay reported %d wrong responses as complete", runs, complete, broken, naiveWrong)
	if complete == 0 || broken == 0 || naiveWrong == 0 {
		t.Error("the runs do not include complete, broken and naively wrong streams")
	}
}
