package daemon

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/authenticator"
	"github.com/redwingshunt/redwingshunt/mimic"
	"github.com/redwingshunt/redwingshunt/parser"
)

// Configuration and load of the benchmark fleet, and durations of its phases.
const (
	benchServices          = 30
	benchAccounts          = 460
	benchRequestsPerSecond = 25 // per instance, under load
	benchSettleTime        = 15 * time.Second
	benchMeasureTime       = 20 * time.Second
)

// BenchmarkFleet runs instances as processes in two regions, idle and under load,
// and reports their average CPU time, memory and link traffic. More iterations
// only repeat the run: use -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, load := range []int{0, benchRequestsPerSecond} {
		for _, count := range []int{9, 18, 36, 72} {
			b.Run(fmt.Sprintf("rate=%d/instances=%d", load, count), func(b *testing.B) {
				for range b.N {
					measureFleet(b, count, load)
				}
			})
		}
	}
}

// usage is the sum of the resources used by all instances.
type usage struct {
	cpu, memory, inside, across, received float64 // seconds, bytes
}

func measureFleet(b *testing.B, count, rate int) {
	admins, callers := startBenchProcesses(b, count)
	ctx, cancel := context.WithCancel(b.Context())
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	if rate > 0 {
		for i := range benchServices {
			startServiceMimic(b, i, callers)
		}
		for i, address := range callers {
			wait.Go(func() { sendAtRate(ctx, address, i, rate) })
		}
	}
	time.Sleep(benchSettleTime)
	before := scrapeAll(b, admins)
	time.Sleep(benchMeasureTime)
	after := scrapeAll(b, admins)
	n := float64(count) * benchMeasureTime.Seconds()
	b.ReportMetric(100*(after.cpu-before.cpu)/n, "%cpu")
	b.ReportMetric(after.memory/float64(count)/(1<<20), "MiB")
	b.ReportMetric((after.inside-before.inside)/n, "inside-B/s")
	b.ReportMetric((after.across-before.across)/n, "across-B/s")
	b.ReportMetric((after.received-before.received)/n, "received-B/s")
}

// startBenchProcesses starts the instances with the same document and returns
// their addresses. The first three are voters with a data folder.
func startBenchProcesses(b *testing.B, count int) (admins, callers []string) {
	binary, folder := build(b), b.TempDir()
	host := func(i int) string { return fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, i/200, 11+i%200) }
	for i := range count {
		region := "north"
		if i%2 == 1 {
			region = "south"
		}
		settings := fmt.Sprintf("name: node-%03d\nregion: %s\nzone: %s-a\nlisten: %s:28080\nlink: %s:28081\nadmin: %s:28082\n"+
			"peers: [%s:28081, %s:28081]\nplain: true\nlog: error\n",
			i, region, region, host(i), host(i), host(i), host(0), host(1))
		if i < 3 {
			settings += fmt.Sprintf("voters: [node-000, node-001, node-002]\ndata: %s\nbootstrap: %s\n",
				filepath.Join(folder, strconv.Itoa(i)), bootstrapKeyHash)
		}
		file := filepath.Join(folder, fmt.Sprintf("%d.yaml", i))
		if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
			b.Fatal(err)
		}
		process := exec.Command(binary, "--settings", file)
		if err := process.Start(); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = process.Process.Kill(); _ = process.Wait() })
		admins = append(admins, host(i)+":28082")
		callers = append(callers, host(i)+":28080")
	}
	eventually(b, func() bool { return submitTo(admins[0], benchDocument(b)) == http.StatusOK })
	return admins, callers
}

// benchDocument returns a document with benchServices services and benchAccounts
// accounts.
func benchDocument(b *testing.B) []byte {
	document := &redwingshunt.Document{
		Teams: []redwingshunt.Team{{
			Name: "platform", Key: authenticator.HashKey("platform"), Edits: redwingshunt.Sections(),
		}},
		Regions: []redwingshunt.Region{
			{Name: "north", Zones: []redwingshunt.ZoneID{"north-a"}},
			{Name: "south", Zones: []redwingshunt.ZoneID{"south-a"}},
		},
	}
	for i := range benchServices {
		document.Services = append(document.Services, redwingshunt.Service{
			Name: redwingshunt.ServiceID(fmt.Sprintf("service-%d", i)), Kind: redwingshunt.ServicePlain,
			Cost: redwingshunt.CostRequests, Body: 1 << 20, Wait: time.Minute, Stall: time.Minute, Retries: 1,
		})
	}
	for i := range benchAccounts {
		name := redwingshunt.AccountID(fmt.Sprintf("account-%d", i))
		document.Accounts = append(document.Accounts, redwingshunt.Account{
			Name: name, Key: authenticator.HashKey(string(name)), Share: 1, Home: "north", Queue: 512, Bytes: 64 << 20,
		})
	}
	document.Fleet = redwingshunt.FleetConfiguration{
		Gap: time.Second, Groups: 1, Keep: time.Hour, Space: 100 << 20, Budget: 10, Losses: 2,
	}
	text, err := parser.Encode(document, "")
	if err != nil {
		b.Fatal(err)
	}
	return text
}

// startServiceMimic starts the upstream of one service, alternating between the
// regions.
func startServiceMimic(b *testing.B, index int, callers []string) {
	region := redwingshunt.RegionID([]string{"north", "south"}[index%2])
	m := mimic.New(mimic.Options{
		ID: redwingshunt.UpstreamID(fmt.Sprintf("upstream-%d", index)), Region: region,
		Service: redwingshunt.ServiceID(fmt.Sprintf("service-%d", index)), Zone: redwingshunt.ZoneID(region) + "-a", Slots: 256,
	})
	if _, err := m.Start("127.0.0.1:0"); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { m.Stop(); m.Wait() })
	m.Announce(callers[index%len(callers)])
}

// sendAtRate sends requests to one instance at a fixed rate, cycling through all
// services and accounts.
func sendAtRate(ctx context.Context, address string, instance, rate int) {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	defer client.CloseIdleConnections()
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := instance; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		wait.Go(func() {
			url := fmt.Sprintf("http://%s/services/service-%d/x", address, i%benchServices)
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("x"))
			if err != nil {
				return
			}
			request.Header.Set("Authorization", fmt.Sprintf("Bearer account-%d", i%benchAccounts))
			if response, err := client.Do(request); err == nil {
				response.Body.Close()
			}
		})
	}
}

// scrapeAll returns the sum of the metrics of all instances.
func scrapeAll(b *testing.B, admins []string) usage {
	var total usage
	for _, admin := range admins {
		response, err := http.Get("http://" + admin + "/metrics")
		if err != nil {
			b.Fatal(err)
		}
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
			total.add(lines.Text())
		}
		response.Body.Close()
	}
	return total
}

// add adds the value of one line of the metrics.
func (u *usage) add(line string) {
	name, text, ok := strings.Cut(line, " ")
	value, err := strconv.ParseFloat(text, 64)
	if !ok || err != nil {
		return
	}
	switch {
	case name == "process_cpu_seconds_total":
		u.cpu += value
	case name == "process_resident_memory_bytes":
		u.memory += value
	case strings.HasPrefix(name, "redwingshunt_link_bytes_total") && strings.Contains(name, `way="inside"`):
		u.inside += value
	case strings.HasPrefix(name, "redwingshunt_link_bytes_total") && strings.Contains(name, `way="across"`):
		u.across += value
	case strings.HasPrefix(name, "redwingshunt_link_bytes_total"):
		u.received += value
	}
}
