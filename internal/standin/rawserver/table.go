package rawserver

import (
	"fmt"
	"strings"
)

// ReadTable returns the cases of a table of responses, which have a number of lines each.
// Empty lines and those that begin with # are skipped.
func ReadTable(text string, linesPerCase int) ([][]string, error) {
	var lines []string
	for line := range strings.Lines(text) {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			lines = append(lines, line)
		}
	}
	if len(lines)%linesPerCase != 0 {
		return nil, fmt.Errorf("%d lines, expected %d for each case", len(lines), linesPerCase)
	}
	var cases [][]string
	for i := 0; i < len(lines); i += linesPerCase {
		cases = append(cases, lines[i:i+linesPerCase])
	}
	return cases, nil
}
