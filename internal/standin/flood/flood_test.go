package flood

import (
	"io"
	"net"
	"strings"
	"testing"
)

// TestCases guards against a table that tests nothing: cases without a name, twice
// the same one, or a server that does not send what its case says.
func TestCases(t *testing.T) {
	cases, err := Cases()
	if err != nil {
		t.Fatal(err)
	}
	s, err := Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	seen := map[string]bool{}
	for _, c := range cases {
		if seen[c.Name()] || c.repeated == "" {
			t.Errorf("case %q is listed twice or repeats nothing", c.Name())
		}
		seen[c.Name()] = true
		s.SetCase(c)
		conn, err := net.Dial("tcp4", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nRequest-Id: 7\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		want := strings.ReplaceAll(c.start+c.repeated+c.repeated, "{id}", "7")
		got := make([]byte, len(want))
		if _, err := io.ReadFull(conn, got); err != nil || string(got) != want {
			t.Errorf("case %q: received %q, %v", c.Name(), got, err)
		}
		_ = conn.Close()
	}
}
