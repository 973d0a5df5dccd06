package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryMB is the memory limit of a process in the settings.
const memoryMB = 284

// router is a process of the system.
type router struct {
	name      string
	callers   string
	readiness string
	record    *record
	command   *exec.Cmd
	exited    chan struct{}

	mu      sync.Mutex
	peakMB  int
	started time.Time
}

const settingsText = `[host]
name = %s
failure_domain = %s

[failure_domains]
dalton-a = us-se
dalton-b = us-se
dalton-c = us-se

[listen]
callers = %s
readiness = %s
peers = %s
metrics = %s

[store]
address = %s

[limits]
memory_mb = %d

[bounds]
revocation = 5000ms
config_in_force = 2000ms
drain = 2000ms
grace = 8s
load_factor = 2
reuse_window = 10s

[retries]
ratio = 0.2
slack = 58
window = 10s

[cold_start]
over = 1.5
slack = 5
`

// freeAddress returns a loopback address with a port that is free for TCP and UDP. The
// port is below those that the system gives to outgoing connections.
func freeAddress() (string, error) {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		p, err := net.ListenPacket("udp4", address)
		_ = l.Close()
		if err == nil {
			_ = p.Close()
			return address, nil
		}
	}
	return "", errors.New("find a free port: none")
}

// startRouter starts the program of the deploy file on a machine of a zone.
func startRouter(r *record, root, folder, name, zone, storeAddress string) (*router, error) {
	var addresses []string
	for range 4 {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, a)
	}
	path := filepath.Join(folder, name+".ini")
	text := fmt.Sprintf(settingsText, name, zone, addresses[0], addresses[1], addresses[2], addresses[3], storeAddress, memoryMB)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	output, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	c := exec.Command("target/hemlock-edge")
	c.Dir = root
	c.Env = []string{"HEMLOCKCROFT_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	c.Stdout, c.Stderr = output, output
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, fmt.Errorf("start router: %w", err)
	}
	p := &router{name: name, callers: addresses[0], readiness: addresses[1], record: r, command: c, exited: make(chan struct{}), started: time.Now()}
	go func() {
		err := c.Wait()
		r.line("router %s ended: %v", name, err)
		_ = output.Close()
		close(p.exited)
	}()
	r.line("router %s started in %s, callers at %s", name, zone, p.callers)
	return p, nil
}

// awaitReady waits until the router says that it is ready.
func (p *router) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		res, err := http.Get("http://" + p.readiness + "/api/readyz")
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("router %s is not ready", p.name)
}

func (p *router) signal(s syscall.Signal) {
	p.record.line("%s to router %s", s, p.name)
	_ = p.command.Process.Signal(s)
}

// hasEnded reports whether the process has ended.
func (p *router) hasEnded() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func (p *router) stop() {
	if !p.hasEnded() {
		_ = p.command.Process.Kill()
		<-p.exited
	}
}

// limitMemory does what the platform does: it kills the process once its resident
// memory exceeds the limit.
func (p *router) limitMemory() {
	for !p.hasEnded() {
		mb := p.residentMB()
		p.mu.Lock()
		if mb > p.peakMB {
			p.peakMB = mb
		}
		p.mu.Unlock()
		if mb > memoryMB {
			p.record.say("router %s uses %d MB of %d MB, the platform kills it", p.name, mb, memoryMB)
			_ = p.command.Process.Kill()
			<-p.exited
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// residentMB returns the resident memory in MB of 2^20 bytes, without pages of files.
func (p *router) residentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// peak returns the largest memory seen in MB.
func (p *router) peak() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peakMB
}
