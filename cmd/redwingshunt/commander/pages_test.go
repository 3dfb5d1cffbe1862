package commander

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt/daemon"
	"github.com/redwingshunt/redwingshunt/parser"
)

// consoleBlock matches a block of commands with their output.
var consoleBlock = regexp.MustCompile("(?s)```console\n(.*?)```")

// nondeterministic matches the parts of an output that differ between runs: keys,
// hashes, times, sizes, lines on the leaders of logs, and progress lines.
var nondeterministic = regexp.MustCompile(`sha256:[0-9a-f]{64}|[A-Za-z0-9_-]{43}|\d{4}-\d\d-\d\dT[0-9:]+Z|\d+ bytes|` +
	"(?m:^log [0-9 ]+: .*\n|^http://\\S+ still answers\n|^waiting: .*\n)")

// sedCommand matches the only command other than redwingshunt that pages use.
var sedCommand = regexp.MustCompile(`^sed -i "s/(.*)/(.*)/" (\S+)$`)

// TestPages runs the commands shown in docs/OPERATORS.md against the fleet of
// examples/node-*.yaml, in a folder that contains the examples, and compares their
// output with the page.
func TestPages(t *testing.T) {
	is := is.New(t)
	root, err := filepath.Abs(filepath.Join("..", "..", ".."))
	is.NoErr(err)
	path := filepath.Join(root, "docs", "OPERATORS.md")
	text, err := os.ReadFile(path)
	is.NoErr(err)
	t.Chdir(t.TempDir())
	is.NoErr(os.Symlink(filepath.Join(root, "examples"), "examples"))
	runner := &pageRunner{addressPairs: startExamples(t)}
	blocks := 0
	page := consoleBlock.ReplaceAllStringFunc(string(text), func(shown string) string {
		blocks++
		got := runner.runBlock(shown)
		if nondeterministic.ReplaceAllString(got, "") == nondeterministic.ReplaceAllString(shown, "") {
			return shown
		}
		if !*updateGolden {
			t.Errorf("the page shows\n%s\nbut the commands print\n%s", shown, got)
		}
		return got
	})
	is.True(blocks > 0)
	if *updateGolden {
		is.NoErr(os.WriteFile(path, []byte(page), 0o644))
	}
}

// startExamples runs the four example instances on free ports. It returns pairs of
// addresses: the one shown in the page, then the one in use.
func startExamples(t *testing.T) []string {
	t.Helper()
	is := is.New(t)
	var pairs []string
	var peers []netip.AddrPort
	var daemons []*daemon.Daemon
	for _, name := range []string{"node-a", "node-b", "node-c", "node-d"} {
		text, err := os.ReadFile(filepath.Join("examples", name+".yaml"))
		is.NoErr(err)
		settings, findings := parser.Settings(name, text)
		is.NoErr(findings.Err())
		shown := *settings
		settings.Listen, settings.Link = freePort(t, settings.Listen), freePort(t, settings.Link)
		settings.Admin, settings.Peers = freePort(t, settings.Admin), peers
		d, err := daemon.New(*settings, daemon.Options{Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
		is.NoErr(err)
		(&fleet{}).runDaemon(t, d)
		peers, daemons = append(peers, d.Link()), append(daemons, d)
		pairs = append(pairs, shown.Admin.String(), d.Admin().String(), shown.Link.String(), d.Link().String())
	}
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !slices.ContainsFunc(daemons, func(d *daemon.Daemon) bool { return len(d.Live()) < len(daemons) }) {
			return pairs
		}
	}
	t.Fatal("some instances do not see all others as live")
	return nil
}

// freePort returns an unused address near the given one. Its port has the same number
// of digits, so that the columns of the output keep their width.
func freePort(t *testing.T, address netip.AddrPort) netip.AddrPort {
	t.Helper()
	for port := address.Port(); port < 10_000; port += 10 {
		candidate := netip.AddrPortFrom(address.Addr(), port)
		socket, err := net.Listen("tcp", candidate.String())
		if err == nil {
			_ = socket.Close()
			return candidate
		}
	}
	t.Fatalf("no port is free at %s", address.Addr())
	return address
}

// pageRunner runs the commands of a page.
type pageRunner struct {
	addressPairs []string // pairs of addresses: the one shown in the page, then the one in use
}

// runBlock runs the commands of a block and returns the block with their output.
func (p *pageRunner) runBlock(block string) string {
	var out strings.Builder
	out.WriteString("```console\n")
	for line := range strings.Lines(block) {
		command, ok := strings.CutPrefix(line, "$ ")
		if !ok {
			continue
		}
		out.WriteString(line)
		out.WriteString(p.run(strings.TrimSpace(command)))
	}
	out.WriteString("```")
	return out.String()
}

// run runs one command and returns its output with the addresses of the page.
func (p *pageRunner) run(command string) string {
	if match := sedCommand.FindStringSubmatch(command); match != nil {
		text, err := os.ReadFile(match[3])
		if err == nil {
			err = os.WriteFile(match[3], []byte(strings.Replace(string(text), match[1], match[2], 1)), 0o600)
		}
		if err != nil {
			return err.Error()
		}
		return ""
	}
	command, file, redirected := strings.Cut(strings.TrimPrefix(command, "redwingshunt "), " > ")
	var out strings.Builder
	console := &Console{In: strings.NewReader(""), Out: &out, Err: &out, Getenv: p.getenv}
	Main(context.Background(), console, strings.Fields(strings.NewReplacer(p.addressPairs...).Replace(command)))
	if redirected {
		if err := os.WriteFile(file, []byte(out.String()), 0o600); err != nil {
			return err.Error()
		}
		return ""
	}
	return strings.NewReplacer(p.reversedPairs()...).Replace(out.String())
}

// reversedPairs returns addressPairs with each pair reversed: the address in use, then
// the one shown in the page.
func (p *pageRunner) reversedPairs() []string {
	var pairs []string
	for i := 0; i < len(p.addressPairs); i += 2 {
		pairs = append(pairs, p.addressPairs[i+1], p.addressPairs[i])
	}
	return pairs
}

// getenv returns a variable of the environment that the page sets up.
func (p *pageRunner) getenv(name string) string {
	switch name {
	case envAdmin:
		addresses := "http://127.0.0.1:8082 http://127.0.0.2:8082 http://127.0.0.3:8082 http://127.0.0.4:8082"
		return strings.NewReplacer(p.addressPairs...).Replace(addresses)
	case envKey:
		return "EXAMPLE-KEY-platform"
	}
	return ""
}
