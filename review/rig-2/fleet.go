package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the program of the run lines of deploy/system.toml.
const program = "target/redwingshunt-platform"

// zones are the availability zones of the fleet with their regions.
var zones = []struct{ zone, region string }{{"chc-a", "canterbury"}, {"wnk-a", "otago"}, {"wlg-a", "wellington"}}

// record writes what happens to record.txt, with the time since its start.
type record struct {
	mu    sync.Mutex
	file  io.WriteCloser
	began time.Time
}

func openRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &record{file: file, began: time.Now()}, err
}

func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// machine is one machine of the fleet with its process.
type machine struct {
	name, role, zone, region, ip string
	folder                       string // temporary: settings, log and disk
	disk                         string // empty without a disk
	process                      *exec.Cmd
	ended                        chan struct{}
	starts                       int
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record   *record
	folder   string
	machines []*machine
	seeds    []string
}

const (
	frontPort    = 8783
	readyPort    = 8780
	controlPort  = 8785
	internalPort = 7400
)

// newFleet lays out a fleet: one core machine in each zone, and fronts in the zones in turn.
func newFleet(r *record, folder string, fronts int) *fleet {
	f := &fleet{record: r, folder: folder}
	pid := os.Getpid()
	add := func(role string, i, n int) {
		z := zones[i%len(zones)]
		m := &machine{
			name: fmt.Sprintf("%s-%s-%d", role, z.zone, i/len(zones)+1), role: role, zone: z.zone, region: z.region,
			ip: fmt.Sprintf("127.%d.%d.%d", 20+pid/250%200, 1+pid%250, n),
		}
		m.folder = filepath.Join(folder, m.name)
		if role == "core" {
			m.disk = filepath.Join(m.folder, "disk")
			f.seeds = append(f.seeds, fmt.Sprintf("%s:%d", m.ip, controlPort))
		}
		f.machines = append(f.machines, m)
	}
	for i := range zones {
		add("core", i, 10+i)
	}
	for i := range fronts {
		add("front", i, 30+i)
	}
	return f
}

func (f *fleet) cores() []*machine { return f.of("core") }

func (f *fleet) fronts() []*machine { return f.of("front") }

func (f *fleet) of(role string) []*machine {
	var found []*machine
	for _, m := range f.machines {
		if m.role == role {
			found = append(found, m)
		}
	}
	return found
}

// settings writes the settings file of a machine.
func (f *fleet) settings(m *machine, bootstrap bool) error {
	listen := map[string]string{}
	serves, roleName := "control", "keeper"
	limits := map[string]any{"cpuShare": 0.4, "cpuCores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}
	if m.role == "front" {
		listen["front"], listen["ready"] = fmt.Sprintf("%s:%d", m.ip, frontPort), fmt.Sprintf("%s:%d", m.ip, readyPort)
		serves, roleName = "front", "router"
	} else {
		listen["control"] = fmt.Sprintf("%s:%d", m.ip, controlPort)
		limits["cpuShare"], limits["memoryMb"], limits["maxFds"], limits["diskMb"] = 0.24, 280, 4096, 128
	}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z.zone] = z.region
	}
	s := map[string]any{
		"nodeName": m.name, "role": roleName, "machineClass": m.role, "serves": []string{serves}, "ip": m.ip,
		"zone": m.zone, "region": m.region, "internalPorts": []int{internalPort, internalPort + 15},
		"seeds": f.seeds, "bootstrap": bootstrap, "toleranceCounted": m.role == "core", "discovery": "registration",
		"entry": "vip", "heartbeatMs": 1200,
		"contracts":  []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"},
		"configMode": "highest", "zones": regions, "listenAddrs": listen, "limits": limits,
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "outerMs": 6000, "strictRevoke": false,
			"revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 52, "recoveryS": 12,
			"deliveryDeadlineMs": 400, "cacheWindowS": 10, "quotaWindowS": 4,
		},
	}
	if m.disk != "" {
		s["dataDir"] = m.disk
	}
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(m.folder, "node.json"), text, 0o600)
}

// start starts the process of a machine.
func (f *fleet) start(m *machine, bootstrap bool) error {
	if err := os.MkdirAll(m.folder, 0o700); err != nil {
		return err
	}
	if m.disk != "" {
		if err := os.MkdirAll(m.disk, 0o700); err != nil {
			return err
		}
	}
	if err := f.settings(m, bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.process = exec.Command(program)
	m.process.Env = append(os.Environ(), "REDWINGSHUNT_NODE_FILE="+filepath.Join(m.folder, "node.json"))
	m.process.Stdout, m.process.Stderr = log, log
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		return err
	}
	m.starts++
	ended := make(chan struct{})
	m.ended = ended
	process := m.process
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	return nil
}

// startAll starts the whole fleet for the first time, with empty disks.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := f.start(m, true); err != nil {
			return err
		}
	}
	f.record.line("started %d machines for the first time", len(f.machines))
	return nil
}

// kill ends the process of a machine as a crash does.
func (m *machine) kill() {
	if m.process == nil {
		return
	}
	_ = m.process.Process.Signal(syscall.SIGKILL)
	<-m.ended
	m.process = nil
}

// wipe removes what is on the disk of a machine whose process has ended.
func (m *machine) wipe() error { return os.RemoveAll(m.disk) }

func (f *fleet) stopAll() {
	for _, m := range f.machines {
		m.kill()
	}
}

// running returns the machines whose process has not ended.
func (f *fleet) running() int {
	n := 0
	for _, m := range f.machines {
		if m.process == nil {
			continue
		}
		select {
		case <-m.ended:
		default:
			n++
		}
	}
	return n
}

// waitListen waits until a machine accepts connections at a port.
func (m *machine) waitListen(port int, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, port), 200*time.Millisecond)
		if err == nil {
			c.Close()
			return true
		}
	}
	return false
}

// logLines returns the lines of a machine's log that contain one of some texts.
func (m *machine) logLines(texts ...string) []string {
	data, _ := os.ReadFile(filepath.Join(m.folder, "log.txt"))
	var found []string
	for _, line := range strings.Split(string(data), "\n") {
		for _, text := range texts {
			if strings.Contains(line, text) {
				found = append(found, line)
				break
			}
		}
	}
	return found
}
