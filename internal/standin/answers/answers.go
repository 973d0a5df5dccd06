package answers

import (
	"bufio"
	_ "embed"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hemlockcroft/hemlockcroft/internal/standin/rawserver"
)

const (
	// linesPerCase is the number of lines of a case in cases.txt.
	linesPerCase = 3
	// resetDelay lets a peer read the response before the reset.
	resetDelay = 20 * time.Millisecond
	// deliveryInterval is the time between two checks whether the peer's kernel has the
	// response, and deliveryTimeout bounds them.
	deliveryInterval = time.Millisecond
	deliveryTimeout  = 2 * time.Second
	// drainTimeout bounds how long a server reads on after it has ended its side.
	drainTimeout = 2 * time.Second
	// smallReceiveBuffer keeps the kernel from taking an upload that is not read, in
	// bytes.
	smallReceiveBuffer = 4 << 10
)

// End is how a server ends a connection after a response.
type End string

const (
	// Shutdown ends the server's side in order and reads what the peer still sends.
	Shutdown End = "shutdown"
	// Reset resets the connection once the peer can have read the response.
	Reset End = "reset"
	// ResetAtOnce resets the connection right after the response.
	ResetAtOnce End = "reset-at-once"
	// ShutdownReset ends the server's side in order and resets the connection later.
	ShutdownReset End = "shutdown-reset"
)

//go:embed cases.txt
var casesText string

// Case is one response.
type Case struct {
	name, text string
	end        End
	outcome    string
}

// NewCase returns a response that is not in the table.
func NewCase(text string, end End) Case { return Case{text: text, end: end} }

// Name returns the name of the case.
func (c Case) Name() string { return c.name }

const (
	whole     = "whole"
	broken    = "broken"
	brokenEnd = "broken-end"
)

// Whole reports whether the response is valid and complete.
func (c Case) Whole() bool { return c.outcome == whole }

// BodyArrives reports whether the whole body arrives, with or without a fault after it.
func (c Case) BodyArrives() bool { return c.outcome != broken }

// EndsInOrder reports whether the server ends its side in order after the response.
func (c Case) EndsInOrder() bool { return c.end == Shutdown || c.end == ShutdownReset }

// Cases returns the cases of cases.txt.
func Cases() ([]Case, error) {
	table, err := rawserver.ReadTable(casesText, linesPerCase)
	if err != nil {
		return nil, err
	}
	var cases []Case
	for _, lines := range table {
		text, err := strconv.Unquote(lines[1])
		if err != nil {
			return nil, fmt.Errorf("case %q: response: %w", lines[0], err)
		}
		outcome, end, _ := strings.Cut(lines[2], " ")
		if outcome != whole && outcome != broken && outcome != brokenEnd {
			return nil, fmt.Errorf("case %q: outcome %q", lines[0], outcome)
		}
		cases = append(cases, Case{lines[0], text, End(end), outcome})
	}
	return cases, nil
}

// Content is what the reader of a response expects in it.
type Content struct {
	fields, body string
}

// NewContent returns the fields, one "Name: value\r\n" each, and the body. {id} in
// them stands for the Request-Id of the request.
func NewContent(fields, body string) Content { return Content{fields, body} }

// Server responds to the first request of each connection.
type Server struct {
	*rawserver.Server
	mu      sync.Mutex
	current Case
	content Content
	early   bool
}

// Listen starts a server on a free port of 127.0.0.1. It must be closed.
func Listen() (*Server, error) {
	s := &Server{}
	var err error
	s.Server, err = rawserver.Listen(s.serve)
	return s, err
}

// Set sets the response for the next connections. An early one is sent while the body
// of the request is being received.
func (s *Server) Set(c Case, content Content, early bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current, s.content, s.early = c, content, early
}

func (s *Server) serve(c net.Conn) {
	s.mu.Lock()
	current, content, early := s.current, s.content, s.early
	s.mu.Unlock()
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	if early && tcp.SetReadBuffer(smallReceiveBuffer) != nil {
		return
	}
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if !early {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
	if _, err := io.WriteString(c, content.Fill(current, r.Header.Get("Request-Id"))); err != nil {
		return
	}
	current.end.apply(tcp)
}

// Play has a reader read each response from a server at an address, and returns a text
// for each that the reader takes for whole although it is not, or the reverse. An early
// response is sent while the body of the request is being received.
func Play(content Content, early bool, read func(address string, c Case) error) ([]string, error) {
	cases, err := Cases()
	if err != nil {
		return nil, err
	}
	var faults []string
	for _, c := range cases {
		// Each server answers one request, so a reader must not use its connection again.
		s, err := Listen()
		if err != nil {
			return nil, err
		}
		s.Set(c, content, early)
		err = read(s.Address(), c)
		s.Close()
		if (err == nil) != c.Whole() {
			faults = append(faults, fmt.Sprintf("%s: error %v, whole %t", c.name, err, c.Whole()))
		}
	}
	return faults, nil
}

// Fill returns the bytes of a response to the request with an id.
func (c Content) Fill(response Case, id string) string {
	ids := strings.NewReplacer("{id}", id)
	body := ids.Replace(c.body)
	return strings.NewReplacer(
		"{fields}", ids.Replace(c.fields), "{body}", body, "{part}", body[:len(body)/2],
		"{length}", strconv.Itoa(len(body)), "{size}", strconv.FormatInt(int64(len(body)), 16),
	).Replace(response.text)
}

func (e End) apply(c *net.TCPConn) {
	if e == Shutdown || e == ShutdownReset {
		// An error means that the peer has reset the connection.
		_ = c.CloseWrite()
	}
	if e == Shutdown {
		_ = c.SetReadDeadline(time.Now().Add(drainTimeout))
		_, _ = io.Copy(io.Discard, c)
		return
	}
	if e != ResetAtOnce {
		awaitDelivery(c)
		time.Sleep(resetDelay)
	}
	// A linger time of zero makes the close a reset.
	_ = c.SetLinger(0)
}

// awaitDelivery waits until the peer's kernel has all that was sent, since a reset
// discards the rest.
func awaitDelivery(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	for end := time.Now().Add(deliveryTimeout); time.Now().Before(end); time.Sleep(deliveryInterval) {
		unsent := 0
		controlErr := raw.Control(func(fd uintptr) { unsent, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		if controlErr != nil || err != nil || unsent == 0 {
			return
		}
	}
}
