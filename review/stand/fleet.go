package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
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

// contactMillis and the other bounds are those of the small site files.
const (
	contactMillis  = 4000
	coreMemoryMB   = 280
	routerMemoryMB = 284
)

// fleet is a small deployment on loopback addresses: it stands for the platform.
type fleet struct {
	folder  string // temporary folder with settings, data folders and logs
	program string
	subnet  int // second part of all addresses, 127.subnet.x.y
	port    int // first of the ports that all machines use
	nodes   []*node

	mu     sync.Mutex
	record io.Writer
	began  time.Time
}

// node is one machine with one process.
type node struct {
	fleet    *fleet
	name     string
	ip       string
	zone     string
	core     bool
	memoryMB int

	mu       sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	stopping bool
	ends     int // processes that ended without being told to, or at the memory limit
	peakMB   int
	freed    bool // the settings no longer say bootstrap
}

func newFleet(record io.Writer) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/redwingshunt-platform")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, program: program, subnet: 20 + rand.IntN(200), record: record, began: time.Now()}
	for range 50 {
		f.port = 20000 + rand.IntN(20000)
		if f.portsFree() {
			return f, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

// portsFree reports whether the ports of the fleet are free on the first addresses.
func (f *fleet) portsFree() bool {
	for host := 1; host <= 12; host++ {
		for _, port := range []int{f.port, f.port + 1, f.control(), f.front(), f.ready(), 9109} {
			socket, err := net.Listen("tcp", f.address(1, host)+":"+strconv.Itoa(port))
			if err != nil {
				return false
			}
			socket.Close()
		}
	}
	return true
}

func (f *fleet) address(net, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.subnet, net, host)
}
func (f *fleet) control() int { return f.port + 20 }
func (f *fleet) front() int   { return f.port + 21 }
func (f *fleet) ready() int   { return f.port + 22 }

// say writes one line to the record.
func (f *fleet) say(format string, values ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, values...))
}

// add adds a machine; start starts its process.
func (f *fleet) add(name, zone string, core bool) *node {
	n := &node{fleet: f, name: name, zone: zone, core: core, ip: f.address(1, len(f.nodes)+1), memoryMB: routerMemoryMB}
	if core {
		n.memoryMB = coreMemoryMB
	}
	f.nodes = append(f.nodes, n)
	return n
}

// seeds returns the control addresses of the core machines.
func (f *fleet) seeds() []string {
	var seeds []string
	for _, n := range f.nodes {
		if n.core && len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", n.ip, f.control()))
		}
	}
	return seeds
}

// writeSettings writes the settings file in the form of deploy/settings.json, which
// renders all fields as JSON.
func (n *node) writeSettings() (string, error) {
	f := n.fleet
	listen := map[string]string{}
	s := map[string]any{
		"nodeName": n.name, "ip": n.ip, "zone": n.zone, "region": "region-" + n.zone,
		"internalPorts": []int{f.port, f.port + 15}, "seeds": f.seeds(), "bootstrap": !n.freed,
		"toleranceCounted": n.core, "discovery": "registration", "entry": "vip", "heartbeatMs": 1200,
		"configMode": "highest", "contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"},
		"zones":          map[string]string{"a": "region-a", "b": "region-b", "c": "region-c"},
		"listenAddrs":    listen,
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"limits":         map[string]any{"cpuShare": 0.4, "cpuCores": 1, "memoryMb": n.memoryMB, "maxFds": 4096, "linkMbps": 1000.0, "diskMb": 128},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "contactMs": contactMillis, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "outerMs": 6000, "strictRevoke": false, "revokeMs": 5000,
			"retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 52, "recoveryS": 12,
		},
	}
	if n.core {
		s["role"], s["machineClass"], s["serves"] = "keeper", "core", []string{"control"}
		s["dataDir"] = filepath.Join(f.folder, n.name+"-data")
		listen["control"] = fmt.Sprintf("%s:%d", n.ip, f.control())
	} else {
		s["role"], s["machineClass"], s["serves"] = "router", "front", []string{"front"}
		listen["front"] = fmt.Sprintf("%s:%d", n.ip, f.front())
		listen["ready"] = fmt.Sprintf("%s:%d", n.ip, f.ready())
	}
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(f.folder, n.name+".json")
	return path, os.WriteFile(path, text, 0o600)
}

// start starts the process of the machine.
func (n *node) start() error {
	settings, err := n.writeSettings()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.fleet.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(n.fleet.program)
	command.Env = []string{"REDWINGSHUNT_NODE_FILE=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.command, n.exited, n.stopping = command, exited, false
	n.mu.Unlock()
	n.fleet.say("%s started, process %d", n.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		log.Close()
		n.mu.Lock()
		ended := !n.stopping
		if ended {
			n.ends++
		}
		n.mu.Unlock()
		if ended {
			n.fleet.say("%s ended by itself or at the memory limit: %v", n.name, err)
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		_ = n.command.Process.Signal(s)
	}
}

// stop kills the process and waits for its end.
func (n *node) stop() {
	n.mu.Lock()
	command, exited := n.command, n.exited
	n.stopping = true
	n.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Process.Kill()
	<-exited
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.stop()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.folder)
	}
}

// memory returns the resident memory of the process in MB.
func (n *node) memory() int {
	n.mu.Lock()
	command := n.command
	n.mu.Unlock()
	if command == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes / 1024
		}
	}
	return 0
}

// guard kills a process that uses more than its memory and starts it again after a
// short delay, as the platform does.
func (n *node) guard(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
		used := n.memory()
		n.mu.Lock()
		n.peakMB = max(n.peakMB, used)
		exited := n.exited
		n.mu.Unlock()
		if used > n.memoryMB {
			n.fleet.say("%s uses %d MB of %d MB: killed", n.name, used, n.memoryMB)
			n.signal(syscall.SIGKILL)
			<-exited
		}
		select {
		case <-exited:
			select {
			case <-done:
				return
			case <-time.After(500 * time.Millisecond):
			}
			_ = n.start()
		default:
		}
	}
}

// operator calls the control addresses.
type operator struct {
	fleet  *fleet
	client *http.Client
	next   int
}

func newOperator(f *fleet) *operator {
	return &operator{fleet: f, client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, next: rand.IntN(3)}
}

// call makes one call to the next control address and returns status and body.
func (o *operator) call(method, path string, body []byte) (int, []byte, string) {
	seeds := o.fleet.seeds()
	address := seeds[o.next%len(seeds)]
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, address
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(request)
	if err != nil {
		o.next++
		return 0, nil, address
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		o.next++
		return 0, nil, address
	}
	if response.StatusCode >= 500 {
		o.next++
	}
	return response.StatusCode, text, address
}

// put sends a configuration until it is acknowledged or the time is over. It reports
// whether it was.
func (o *operator) put(body []byte, until time.Time) bool {
	delay := 50 * time.Millisecond
	for time.Now().Before(until) {
		if status, _, _ := o.call(http.MethodPost, "/v1/Config.Put", body); status == http.StatusOK {
			return true
		}
		time.Sleep(delay)
		delay = min(2*delay, time.Second)
	}
	return false
}
