package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// program is the program that the deploy file runs on each machine.
const program = "target/redwingshunt-platform"

// zone is an availability zone with its region.
type zone struct{ name, region string }

// zones are those of a small deployment: three, each in a region of its own.
var zones = []zone{{"chc-a", "canterbury"}, {"wnk-a", "otago"}, {"wlg-a", "wellington"}}

// graceS is the time from SIGTERM to SIGKILL, in seconds.
const graceS = 8

// ports are the same on all machines.
type ports struct{ internal, front, ready, control int }

// fleet is a set of machines on loopback addresses of one network 127.x.y.0/24.
type fleet struct {
	record  *record
	folder  string
	network string
	ports   ports
	next    int // last part of the next address
	nodes   []*node
}

// node is one machine with its process.
type node struct {
	fleet *fleet
	name  string
	zone  zone
	core  bool
	ip    string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	endedAt time.Time
	logs    *os.File
}

func newFleet(r *record) (*fleet, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("run this in the repository after the build of the deploy file: %w", err)
	}
	folder, err := os.MkdirTemp("", "rig-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		record: r, folder: folder, next: 1,
		network: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)),
	}
	f.ports, err = freePorts(f.network + ".1")
	return f, err
}

// freePorts picks a range of free ports for the traffic between machines, and single
// ones for what they serve.
func freePorts(ip string) (ports, error) {
	for range 100 {
		base := 20000 + rand.IntN(20000)
		free := true
		for port := base; port < base+24 && free; port++ {
			socket, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if free = err == nil; free {
				_ = socket.Close()
			}
		}
		if free {
			return ports{internal: base, front: base + 20, ready: base + 21, control: base + 22}, nil
		}
	}
	return ports{}, errors.New("there are no free ports")
}

// add adds a machine without starting it.
func (f *fleet) add(name string, z zone, core bool) *node {
	n := &node{fleet: f, name: name, zone: z, core: core, ip: fmt.Sprintf("%s.%d", f.network, f.next)}
	f.next++
	f.nodes = append(f.nodes, n)
	return n
}

// cores returns the machines that serve control.
func (f *fleet) cores() []*node {
	var found []*node
	for _, n := range f.nodes {
		if n.core {
			found = append(found, n)
		}
	}
	return found
}

// fronts returns the machines that serve clients.
func (f *fleet) fronts() []*node {
	var found []*node
	for _, n := range f.nodes {
		if !n.core {
			found = append(found, n)
		}
	}
	return found
}

// start starts the process of a machine with its settings. bootstrap is true only at
// the first start of the whole system.
func (n *node) start(seeds []*node, bootstrap bool) error {
	path := filepath.Join(n.fleet.folder, n.name+".settings")
	text, err := json.Marshal(n.settings(seeds, bootstrap))
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	if n.core {
		if err := os.MkdirAll(n.dataDir(), 0o700); err != nil {
			return err
		}
	}
	logs, err := os.OpenFile(filepath.Join(n.fleet.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(program)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "REDWINGSHUNT_NODE_FILE=" + path}
	command.Stdout, command.Stderr = logs, logs
	// The kernel ends the process if this one ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.process, n.ended, n.logs = command, ended, logs
	n.mu.Unlock()
	go func() {
		_ = command.Wait()
		_ = logs.Close()
		n.mu.Lock()
		n.endedAt = time.Now()
		n.mu.Unlock()
		close(ended)
	}()
	return nil
}

func (n *node) dataDir() string { return filepath.Join(n.fleet.folder, n.name+".data") }

// settings returns the settings file as the page on deployment shows it.
func (n *node) settings(seeds []*node, bootstrap bool) map[string]any {
	p := n.fleet.ports
	var addresses []string
	for _, s := range seeds {
		addresses = append(addresses, fmt.Sprintf("%s:%d", s.ip, p.control))
	}
	regions := make(map[string]string)
	for _, z := range zones {
		regions[z.name] = z.region
	}
	s := map[string]any{
		"nodeName": n.name, "ip": n.ip, "zone": n.zone.name, "region": n.zone.region,
		"internalPorts": []int{p.internal, p.internal + 15}, "seeds": addresses, "bootstrap": bootstrap,
		"toleranceCounted": n.core, "discovery": "registration", "entry": "vip", "heartbeatMs": 1200,
		"contracts":  []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"},
		"configMode": "highest", "zones": regions,
		"faultTolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": graceS,
			"lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "outerMs": 6000, "strictRevoke": false,
			"revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 52, "recoveryS": 12,
			"deliveryDeadlineMs": 400, "cacheWindowS": 10, "quotaWindowS": 4,
		},
	}
	if n.core {
		s["role"], s["machineClass"], s["serves"] = "keeper", "core", []string{"control"}
		s["dataDir"] = n.dataDir()
		s["listenAddrs"] = map[string]any{"control": fmt.Sprintf("%s:%d", n.ip, p.control)}
		s["limits"] = map[string]any{"cpuShare": 0.24, "cpuCores": 1, "memoryMb": 280, "maxFds": 4096, "linkMbps": 1000.0, "diskMb": 128}
		return s
	}
	s["role"], s["machineClass"], s["serves"] = "router", "front", []string{"front"}
	s["listenAddrs"] = map[string]any{"front": n.frontAddress(), "ready": fmt.Sprintf("%s:%d", n.ip, p.ready)}
	s["limits"] = map[string]any{"cpuShare": 0.4, "cpuCores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}
	return s
}

func (n *node) frontAddress() string { return fmt.Sprintf("%s:%d", n.ip, n.fleet.ports.front) }

func (n *node) controlAddress() string { return fmt.Sprintf("%s:%d", n.ip, n.fleet.ports.control) }

// signal sends a signal to the process, which this program started.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil && n.process.Process != nil {
		_ = n.process.Process.Signal(s)
	}
}

// wait waits until the process has ended, and reports whether it did in time.
func (n *node) wait(limit time.Duration) bool {
	select {
	case <-n.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the process at once.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.wait(5 * time.Second)
}

// loseDisk empties the data folder. The process must have ended.
func (n *node) loseDisk() error { return os.RemoveAll(n.dataDir()) }

// close ends all processes and removes the folder.
func (f *fleet) close() {
	for _, n := range f.nodes {
		if n.process != nil {
			n.signal(syscall.SIGCONT)
			n.kill()
		}
	}
	if os.Getenv("KEEP") != "" {
		f.record.logf("logs of the processes: %s", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}

// ready reports whether a front says that it is ready.
func (n *node) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", n.ip, n.fleet.ports.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll starts all machines for the first time.
func (f *fleet) startAll() error {
	seeds := f.cores()[:min(3, len(f.cores()))]
	for _, n := range f.nodes {
		if err := n.start(seeds, true); err != nil {
			return err
		}
	}
	return nil
}

// until polls a condition until it holds, and reports whether it did in time.
func until(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
