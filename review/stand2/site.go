package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of a small deployment.
const (
	zone       = "ub-hall-a"
	host       = "ficu95.example"
	tenant     = "hule930"
	key        = "n2ctnfzs989anu6wsjnb"
	deskName   = "wuno96b"
	writerName = "huvo11a"
	memoryMB   = 284
)

func must(err error) {
	if err != nil {
		fail("could not run: %v", err)
	}
}

// site is one small deployment: the store, and the machines of the system.
type site struct {
	record *record
	folder string
	store  *store

	mu       sync.Mutex
	machines []*machine
	version  int64
}

func newSite(record *record) *site {
	folder, err := os.MkdirTemp("", "review2-")
	must(err)
	return &site{record: record, folder: folder, store: newStore("127.0.0.1:0"), version: 7}
}

// close ends the processes of the site.
func (s *site) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.machines {
		_ = m.process.Process.Kill()
		<-m.ended
	}
	_ = os.RemoveAll(s.folder)
}

func route(name, prefix, kind, service string, timeout time.Duration) map[string]any {
	out := map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout.Milliseconds(), "goal_ms": 500, "priority": 1,
		"service": service, "max_attempts": 2, "public": false,
	}
	if kind == "streaming" {
		out["sticky"], out["resumable"], out["gap_aim_ms"] = true, true, 200
	}
	return out
}

// configure writes the next version of the configuration, with more tenants beside the one whose key the clients have.
func (s *site) configure(routes, services, more []any) time.Time {
	s.mu.Lock()
	s.version += 3
	version := s.version
	s.mu.Unlock()
	return s.store.write("op/config", map[string]any{
		"version": version, "route_table": routes, "services": services,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": append([]any{map[string]any{"name": tenant, "api_keys": []string{key}, "priority": 1}}, more...),
	})
}

// maxBody is max_body_bytes of the limits, as in the pages' example of a configuration.
const maxBody = 4194304

func desk() map[string]any {
	return map[string]any{"name": deskName, "health_path": "/health", "max_conns": 898, "protocol": "h1", "tls": false}
}

// machine is a machine of the system with its process.
type machine struct {
	site     *site
	name     string
	callers  string
	ready    string
	control  string
	peers    string
	settings string
	log      string
	process  *exec.Cmd
	ended    chan struct{}
	begun    time.Time
}

// freeAddr returns a free TCP address; the port is free for UDP as well, as far as can be told.
func freeAddr() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

var gap = regexp.MustCompile(`\{\{[^}]*\}\}`)

// addMachine fills the template of the deploy file as the platform does.
func (s *site) addMachine(name string) *machine {
	m := &machine{site: s, name: name, callers: freeAddr(), ready: freeAddr(), control: freeAddr(), peers: freeAddr()}
	ip, port, err := net.SplitHostPort(m.peers)
	must(err)
	values := map[string]string{
		"node_name": name, "zone": zone, "node_ip": ip, "port_range.0": port, "limits.cpu_share": "0.4", "listen.front_addr": m.callers,
		"listen.readiness_addr": m.ready, "listen.control_addr": m.control, "platform_info.address": s.store.addr(),
		"limits.memory_mb": fmt.Sprint(memoryMB), "limits.link_mbps": "1000.0", "bounds.strict_revoke": "true", "bounds.revoke_ms": "5000",
		"bounds.budget_window_s": "10", "bounds.budget_ratio": "0.2", "bounds.budget_slack": "198", "bounds.grace_s": "8",
		"bounds.stall_ms": "2000", "bounds.drain_ms": "2000", "bounds.config_apply_ms": "2000",
	}
	template, err := os.ReadFile("deploy/settings.yaml")
	must(err)
	filled := gap.ReplaceAllStringFunc(string(template), func(g string) string { return values[strings.Trim(g, "{}")] })
	m.settings = filepath.Join(s.folder, name+".conf")
	must(os.WriteFile(m.settings, []byte(filled), 0o600))
	m.log = filepath.Join(s.folder, name+".log")
	s.mu.Lock()
	s.machines = append(s.machines, m)
	s.mu.Unlock()
	m.start()
	return m
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// start starts the process with the run line of the deploy file.
func (m *machine) start() {
	deploy, err := os.ReadFile("deploy/system.toml")
	must(err)
	found := runLine.FindSubmatch(deploy)
	if found == nil {
		fail("no run line in the deploy file")
	}
	words := strings.Fields(strings.ReplaceAll(string(found[1]), "/etc/junctioncross/settings.conf", m.settings))
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	m.process = exec.Command(words[0], words[1:]...)
	m.process.Stdout, m.process.Stderr = out, out
	m.process.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JUNCTIONCROSS_NODE_FILE=" + m.settings,
		"QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true",
	}
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(m.process.Start())
	m.begun = time.Now()
	_ = out.Close()
	m.ended = make(chan struct{})
	go func(p *exec.Cmd, ended chan struct{}) {
		_ = p.Wait()
		close(ended)
	}(m.process, m.ended)
	m.site.record.line("%s started, pid %d", m.name, m.process.Process.Pid)
}

func (m *machine) signal(sig syscall.Signal) {
	m.site.record.line("%s gets %v", m.name, sig)
	_ = m.process.Process.Signal(sig)
}

// isReady asks the machine's readiness check once.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.ready + "/api/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

func (m *machine) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if m.isReady() {
			m.site.record.line("%s is ready", m.name)
			return
		}
	}
	m.dumpLog()
	fail("%s did not become ready", m.name)
}

// residentMB returns the resident memory of the process in megabytes.
func (m *machine) residentMB() float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.process.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(b), &size, &resident); err != nil {
		return 0
	}
	return float64(resident*int64(os.Getpagesize())) / (1 << 20)
}

// dumpLog copies the last lines of the log into the record.
func (m *machine) dumpLog() {
	f, err := os.Open(m.log)
	if err != nil {
		return
	}
	defer f.Close()
	var lines []string
	scanner := bufio.NewScanner(f)
	scanner.Buffer(make([]byte, 1<<20), 1<<20)
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	for _, l := range lines[max(len(lines)-40, 0):] {
		m.site.record.line("log of %s: %s", m.name, l)
	}
}
