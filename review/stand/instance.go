package main

import (
	"errors"
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

	"junctioncross/ports"
)

// The files of the project that tell how the platform starts an instance; the stand runs at the project's root.
const (
	deployFile   = "deploy/system.toml"
	templateFile = "deploy/settings.yaml"
	// platformSettings is where the platform lays the settings; the stand uses a temporary file instead.
	platformSettings = "/etc/junctioncross/settings.conf"
)

// instance is one machine of the system; its process may be started several times.
type instance struct {
	site *site
	name string
	// The listen addresses.
	callers, readiness string
	settings           string
	command            []string

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	// starts and ends count the processes, and killed is true once the stand ends the present one.
	starts, ends int
	killed       bool
}

// endsWithStand makes a process end if the stand ends without having ended it.
func endsWithStand() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }

var (
	runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)
	gap     = regexp.MustCompile(`{{([a-z_.0-9]+)}}`)
)

func newInstance(s *site, zone string) (*instance, error) {
	addrs, err := ports.Free(4)
	if err != nil {
		return nil, err
	}
	i := &instance{site: s, name: "edge-" + zone + "-1", callers: addrs[0], readiness: addrs[1]}
	i.settings = filepath.Join(s.dir, i.name+".conf")
	deploy, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	found := runLine.FindSubmatch(deploy)
	if found == nil {
		return nil, errors.New("no start line in " + deployFile)
	}
	i.command = strings.Fields(strings.ReplaceAll(string(found[1]), platformSettings, i.settings))
	if err := i.writeSettings(zone, addrs); err != nil {
		return nil, err
	}
	return i, nil
}

// writeSettings fills the template of the deploy file with the values of a machine of a small deployment.
func (i *instance) writeSettings(zone string, addrs []string) error {
	template, err := os.ReadFile(templateFile)
	if err != nil {
		return err
	}
	ip, peers, err := net.SplitHostPort(addrs[3])
	if err != nil {
		return err
	}
	values := map[string]string{
		"node_name": i.name, "zone": zone, "node_ip": ip, "port_range.0": peers, "listen.front_addr": addrs[0],
		"listen.readiness_addr": addrs[1], "listen.control_addr": addrs[2], "platform_info.address": i.site.store.addr,
		"limits.cpu_share": "0.4", "limits.memory_mb": "284", "limits.link_mbps": "1000.0", "bounds.strict_revoke": "true",
		"bounds.revoke_ms": "5000", "bounds.budget_window_s": "10", "bounds.budget_ratio": "0.2", "bounds.budget_slack": "198",
		"bounds.grace_s": "8", "bounds.stall_ms": "2000", "bounds.drain_ms": "2000", "bounds.config_apply_ms": "2000",
	}
	var missing error
	filled := gap.ReplaceAllStringFunc(string(template), func(g string) string {
		value, ok := values[gap.FindStringSubmatch(g)[1]]
		if !ok {
			missing = errors.New("no value for " + g)
		}
		return value
	})
	if missing != nil {
		return missing
	}
	return os.WriteFile(i.settings, []byte(filled), 0o600)
}

// start starts a process.
func (i *instance) start() error {
	out, err := os.OpenFile(i.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	process := exec.Command(i.command[0], i.command[1:]...)
	process.Stdout, process.Stderr = out, out
	process.SysProcAttr = endsWithStand()
	process.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JUNCTIONCROSS_NODE_FILE=" + i.settings,
		"QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true",
	}
	if err := process.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	i.mu.Lock()
	i.process, i.done, i.killed = process, done, false
	i.starts++
	i.mu.Unlock()
	i.site.out.line("%s starts, callers reach it at %s", i.name, i.callers)
	go func() {
		err := process.Wait()
		i.mu.Lock()
		i.ends++
		killed := i.killed
		i.mu.Unlock()
		if !killed {
			i.site.out.line("%s has ended: %v", i.name, err)
		}
		close(done)
	}()
	return nil
}

// ready reports whether the instance answers the balancer's check with 200.
func (i *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + i.readiness + "/api/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the instance is ready, and reports whether it was in time.
func (i *instance) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if i.ready() {
			return true
		}
	}
	return false
}

// kill ends the present process and waits for its end.
func (i *instance) kill() {
	i.mu.Lock()
	process, done := i.process, i.done
	i.killed = true
	i.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(syscall.SIGKILL)
	<-done
}
