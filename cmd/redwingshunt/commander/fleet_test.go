package commander

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/daemon"
	"github.com/redwingshunt/redwingshunt/logger"
)

// patience bounds waits for something that must happen.
const patience = 30 * time.Second

// fleet is three daemons with TLS, and the environment of an operator.
type fleet struct {
	daemons     []*daemon.Daemon
	stopped     []chan error
	environment map[string]string
	client      *http.Client
	log         *logger.Memory
}

// startSecured starts the fleet with certificates that keygen makes.
func startSecured(t *testing.T) *fleet {
	t.Helper()
	is := is.New(t)
	folder := t.TempDir()
	f := &fleet{log: &logger.Memory{}}
	var peers []netip.AddrPort
	var admins []string
	for i, name := range []string{"node-a", "node-b", "node-c"} {
		ip := netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)})
		code, _, faults := command("", nil, "keygen", "--fleet", folder, "--instance", name, "--address", ip.String())
		is.Equal(faults, "")
		is.Equal(code, ExitDone)
		anyPort := netip.AddrPortFrom(ip, 0)
		d, err := daemon.New(redwingshunt.Settings{
			Name: redwingshunt.InstanceID(name), Region: "north", Zone: "north-a", Drain: patience,
			Listen: anyPort, Link: anyPort, Admin: anyPort, Metrics: anyPort, Peers: peers,
			Document: filepath.Join("..", "..", "..", "examples", "three.yaml"),
			TLS: redwingshunt.TLSFiles{
				Cert: filepath.Join(folder, name+".pem"), Key: filepath.Join(folder, name+".key"),
				Authority: filepath.Join(folder, "authority.pem"),
			},
		}, daemon.Options{Logger: slog.New(slog.NewJSONHandler(f.log, &slog.HandlerOptions{Level: slog.LevelDebug}))})
		is.NoErr(err)
		f.run(t, d)
		peers = append(peers, d.Link())
		admins = append(admins, d.Admin().String())
	}
	authority := filepath.Join(folder, "authority.pem")
	f.environment = map[string]string{
		envAdmin: strings.Join(admins, " "), envKey: "EXAMPLE-KEY-platform", envAuthority: authority,
	}
	pool := x509.NewCertPool()
	text, err := os.ReadFile(authority)
	is.NoErr(err)
	is.True(pool.AppendCertsFromPEM(text))
	f.client = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	t.Cleanup(f.client.CloseIdleConnections)
	return f
}

// run runs a daemon until the end of the test.
func (f *fleet) run(t *testing.T, d *daemon.Daemon) {
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- d.Run(ctx); close(stopped) }()
	f.daemons, f.stopped = append(f.daemons, d), append(f.stopped, stopped)
	t.Cleanup(func() { cancel(); <-stopped })
}

// view asks for the status until it is as wanted.
func (f *fleet) view(t *testing.T, wanted func(fleetView) bool) {
	t.Helper()
	var out string
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		_, out, _ = command("", f.environment, "status", "--json")
		var view fleetView
		if json.Unmarshal([]byte(out), &view) == nil && wanted(view) {
			return
		}
	}
	t.Fatalf("the status stays %s", out)
}

// get returns an answer of an instance over TLS.
func (f *fleet) get(t *testing.T, address netip.AddrPort, path, key string) (int, string) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("https://%s%s", address, path), nil)
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+key)
	answer, err := f.client.Do(request)
	is.NoErr(err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	is.NoErr(err)
	return answer.StatusCode, string(body)
}

// TestSecuredFleet joins three instances over mutual TLS, looks at them from the
// command line, and drains one. No key shows up in logs, dumps or metrics.
func TestSecuredFleet(t *testing.T) {
	is := is.New(t)
	f := startSecured(t)
	f.view(t, func(v fleetView) bool { return len(v.Asked) == 3 && len(v.Fleet) == 3 && len(v.behind(1)) == 0 })

	const wrong = "EXAMPLE-KEY-nobody"
	status, _ := f.get(t, f.daemons[0].Listen(), "/services/desk/x", wrong)
	is.Equal(status, http.StatusUnauthorized)
	_, metrics := f.get(t, f.daemons[0].Metrics(), "/metrics", wrong)
	is.True(strings.Contains(metrics, "redwingshunt_ready"))
	code, dumps, _ := command("", f.environment, "dump")
	is.Equal(code, ExitDone)
	is.Equal(strings.Count(dumps, `"version":1`), 3)
	code, out, _ := command("", f.environment, "dump", "--compare")
	is.Equal(out, "")
	is.Equal(code, ExitDone)

	code, out, _ = command("", f.environment, "drain", "--wait", "--admin", f.daemons[2].Admin().String())
	is.Equal(code, ExitDone)
	is.True(strings.HasSuffix(out, "has stopped\n"))
	is.NoErr(<-f.stopped[2])
	f.view(t, func(v fleetView) bool { return len(v.Asked) == 2 && len(v.Fleet) == 2 })

	for name, text := range map[string]string{"log": f.log.String(), "dumps": dumps, "metrics": metrics} {
		if strings.Contains(text, "EXAMPLE-KEY") || strings.Contains(text, "PRIVATE KEY") {
			t.Errorf("%s tells a key", name)
		}
	}
}
