package quarantine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxDocumentBytes limits a saved document.
const maxDocumentBytes = 64 << 10

// documentHeader is the first line of a saved document.
type documentHeader struct {
	// SavedAtMS is the wall-clock time in Unix ms as of which the ages hold.
	SavedAtMS int64 `json:"saved_at_ms"`
}

// EncodeDocument encodes facts as of a wall-clock time, for routers that start later.
func EncodeDocument(facts []Fact, at time.Time) ([]byte, error) {
	header, err := json.Marshal(documentHeader{at.UnixMilli()})
	if err != nil {
		return nil, fmt.Errorf("encode header: %w", err)
	}
	messages, err := Encode(facts, append(header, '\n'), maxDocumentBytes)
	if err != nil {
		return nil, err
	}
	if len(messages) == 0 {
		return append(header, '\n'), nil
	}
	return messages[0], nil
}

// DecodeDocument decodes the quarantined sets of a saved document and adds the time
// since it was saved to their ages. Sets that have expired since are left out. A wall
// clock that was set back counts as no time. The error is that of the last invalid
// line; the others are decoded all the same.
func DecodeDocument(document []byte, now time.Time) (facts []Fact, err error) {
	if len(document) > maxDocumentBytes {
		return nil, fmt.Errorf("%w: document of %d bytes", errInvalidFact, len(document))
	}
	first, rest, _ := bytes.Cut(document, []byte("\n"))
	var header documentHeader
	if err := json.Unmarshal(first, &header); err != nil {
		return nil, fmt.Errorf("decode header: %w", err)
	}
	elapsed := max(0, now.UnixMilli()-header.SavedAtMS)
	for line := range bytes.Lines(rest) {
		list, lineErr := Decode(line)
		if lineErr != nil {
			err = lineErr
			continue
		}
		for _, f := range list {
			f.AgeMS, f.FirstAgeMS, f.LeftMS = f.AgeMS+elapsed, f.FirstAgeMS+elapsed, f.LeftMS-elapsed
			if f.Kind == entryNews && f.check() == nil {
				facts = append(facts, f)
			}
		}
	}
	return facts, err
}

// Sets returns a text that is the same for the same quarantined sets and numbers of
// failed probes.
func Sets(entries []Entry) string {
	var lines []string
	for _, e := range entries {
		lines = append(lines, setLine(e.parts, e.failedProbes))
	}
	return joinLines(lines)
}

// SetsOf returns the text of Sets for the quarantined sets among facts.
func SetsOf(facts []Fact) string {
	var lines []string
	for _, f := range facts {
		if f.Kind == entryNews {
			lines = append(lines, setLine(normalize(f.Parts), f.FailedProbes))
		}
	}
	return joinLines(lines)
}

func setLine(parts []Part, failedProbes int) string {
	return strconv.Itoa(failedProbes) + " " + setKey(parts)
}

func joinLines(lines []string) string {
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}
