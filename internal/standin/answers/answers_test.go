package answers

import "testing"

// TestCases guards against a table that cannot be read, a name that stands for two cases,
// and an end that the server does not know.
func TestCases(t *testing.T) {
	cases, err := Cases()
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, c := range cases {
		if names[c.Name()] {
			t.Errorf("case %q twice", c.Name())
		}
		names[c.Name()] = true
		switch c.end {
		case Shutdown, Reset, ResetAtOnce, ShutdownReset:
		default:
			t.Errorf("case %q: end %q", c.Name(), c.end)
		}
	}
	if !names["status 000"] {
		t.Error("no case with status 000")
	}
}
