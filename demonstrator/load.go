package demonstrator

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// sampleInterval is how often the busy slots are counted.
const sampleInterval = 20 * time.Millisecond

// retryDelay is how long a sender waits after a refusal.
const retryDelay = 50 * time.Millisecond

// load keeps requests in flight for all accounts and measures their service.
type load struct {
	fleet   *fleet
	members []member
	service []tally
	client  *http.Client
	samples atomic.Int64
	busy    atomic.Int64
}

// tally counts what one account received.
type tally struct {
	requests, tokens, refused atomic.Int64
}

func newLoad(f *fleet, members []member) *load {
	return &load{
		fleet:   f,
		members: members,
		service: make([]tally, len(members)),
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
}

// run sends until the time is over and prints lines and the final table.
func (l *load) run(ctx context.Context, out io.Writer, options Options) {
	ctx, cancel := context.WithTimeout(ctx, options.Duration)
	defer cancel()
	defer l.client.CloseIdleConnections()
	begin := time.Now()
	within, across := l.fleet.controlBytes()
	var senders sync.WaitGroup
	for i, m := range l.members {
		for n := range m.senders {
			senders.Go(func() { l.send(ctx, i, n) })
		}
	}
	senders.Go(func() { l.sample(ctx) })
	ticker := time.NewTicker(options.Interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			l.line(out, time.Since(begin))
		case <-ctx.Done():
		}
	}
	senders.Wait()
	elapsed := time.Since(begin)
	l.table(out, elapsed)
	endWithin, endAcross := l.fleet.controlBytes()
	perSecond := func(from, to uint64) float64 { return float64(to-from) / elapsed.Seconds() }
	fmt.Fprintf(out, "control: %.0f bytes/s an instance within regions, %.0f bytes/s across regions in all\n",
		perSecond(within, endWithin)/float64(len(l.fleet.nodes)), perSecond(across, endAcross))
}

// send keeps one request of an account in flight.
func (l *load) send(ctx context.Context, index, sender int) {
	m := l.members[index]
	body := fmt.Sprintf(`{"model":%q,"stream":true,"stream_options":{"include_usage":true},"max_tokens":%d,"messages":[]}`, serviceName, m.tokens)
	for turn := sender; ctx.Err() == nil; turn++ {
		node := m.node
		if node < 0 {
			node = turn % len(l.fleet.nodes)
		}
		if !l.request(ctx, index, l.fleet.nodes[node].Listen().String(), body) {
			select {
			case <-time.After(retryDelay):
			case <-ctx.Done():
			}
		}
	}
}

// request sends one chat completion and counts the tokens of its answer as they
// come, and those of its prompt at the end.
func (l *load) request(ctx context.Context, index int, address, body string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+keyOf(l.members[index].account.Name))
	response, err := l.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		l.service[index].refused.Add(1)
		return false
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		l.count(index, lines.Text())
	}
	return lines.Err() == nil
}

func (l *load) count(index int, line string) {
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		return
	}
	if data == "[DONE]" {
		l.service[index].requests.Add(1)
		return
	}
	var chunk struct {
		Choices []json.RawMessage `json:"choices"`
		Usage   struct {
			Prompt int64 `json:"prompt_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal([]byte(data), &chunk) == nil {
		l.service[index].tokens.Add(int64(len(chunk.Choices)) + chunk.Usage.Prompt)
	}
}

func (l *load) sample(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.samples.Add(1)
			l.busy.Add(int64(l.fleet.busy()))
		case <-ctx.Done():
			return
		}
	}
}

// utilisation returns the part of the slots that was busy, in percent.
func (l *load) utilisation() float64 {
	return 100 * float64(l.busy.Load()) / float64(max(1, l.samples.Load())*engines*slots)
}

func perShare(m member, tokens int64) float64 {
	return float64(tokens) / float64(m.account.Share)
}

// gap returns the greatest difference of service for each share, in seconds of
// the whole capacity for each share.
func (l *load) gap(elapsed time.Duration) float64 {
	lowest, highest, total := 0.0, 0.0, int64(0)
	shares := redwingshunt.Share(0)
	for i, m := range l.members {
		tokens := l.service[i].tokens.Load()
		served := perShare(m, tokens)
		if i == 0 || served < lowest {
			lowest = served
		}
		highest = max(highest, served)
		total += tokens
		shares += m.account.Share
	}
	capacity := float64(total) / elapsed.Seconds() / float64(shares) // tokens a second for each share
	if capacity == 0 {
		return 0
	}
	return (highest - lowest) / capacity
}

func (l *load) line(out io.Writer, elapsed time.Duration) {
	fmt.Fprintf(out, "%4.0fs ", elapsed.Seconds())
	for i, m := range l.members {
		fmt.Fprintf(out, " %s %.0f", m.account.Name, perShare(m, l.service[i].tokens.Load()))
	}
	fmt.Fprintf(out, "  gap %.2fs  busy %.0f%%\n", l.gap(elapsed), l.utilisation())
}

func (l *load) table(out io.Writer, elapsed time.Duration) {
	fmt.Fprintln(out)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "account\tshare\tsenders\trequests\trefused\ttokens\ttokens/share\t")
	for i, m := range l.members {
		s := &l.service[i]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t\n", m.account.Name, m.account.Share, m.senders,
			s.requests.Load(), s.refused.Load(), s.tokens.Load(), perShare(m, s.tokens.Load()))
	}
	_ = w.Flush()
	fmt.Fprintf(out, "\ngap: %.2f seconds of capacity\nutilisation: %.1f%% of slots busy\n",
		l.gap(elapsed), l.utilisation())
}
