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

// sampleInterval is the time between two samples of the busy slots.
const sampleInterval = 20 * time.Millisecond

// retryDelay is how long a sender waits after a failed request.
const retryDelay = 50 * time.Millisecond

// load keeps requests in flight for all accounts and measures the service that
// each receives.
type load struct {
	fleet    *fleet
	accounts []demoAccount
	service  []tally
	client   *http.Client
	samples  atomic.Int64
	busy     atomic.Int64
}

// tally counts the service that one account received.
type tally struct {
	requests, tokens, refused atomic.Int64
}

func newLoad(f *fleet, accounts []demoAccount) *load {
	return &load{
		fleet:    f,
		accounts: accounts,
		service:  make([]tally, len(accounts)),
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
}

// run sends requests for the duration and prints the progress lines and the final
// table.
func (l *load) run(ctx context.Context, out io.Writer, options Options) {
	ctx, cancel := context.WithTimeout(ctx, options.Duration)
	defer cancel()
	defer l.client.CloseIdleConnections()
	begin := time.Now()
	within, across := l.fleet.controlBytes()
	var senders sync.WaitGroup
	for i, a := range l.accounts {
		for n := range a.senders {
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
		perSecond(within, endWithin)/float64(len(l.fleet.instances)), perSecond(across, endAcross))
}

// send keeps one request of an account in flight until ctx is done.
func (l *load) send(ctx context.Context, index, sender int) {
	a := l.accounts[index]
	body := fmt.Sprintf(`{"model":%q,"stream":true,"stream_options":{"include_usage":true},"max_tokens":%d,"messages":[]}`, serviceName, a.tokens)
	for turn := sender; ctx.Err() == nil; turn++ {
		instance := a.instance
		if instance < 0 {
			instance = turn % len(l.fleet.instances)
		}
		if !l.request(ctx, index, l.fleet.instances[instance].Listen().String(), body) {
			select {
			case <-time.After(retryDelay):
			case <-ctx.Done():
			}
		}
	}
}

// request sends one chat completion request. It counts the completion tokens as
// they arrive and the prompt tokens at the end, and reports whether the request
// succeeded.
func (l *load) request(ctx context.Context, index int, address, body string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+keyOf(l.accounts[index].account.Name))
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

// utilisation returns the average percentage of slots that were busy.
func (l *load) utilisation() float64 {
	return 100 * float64(l.busy.Load()) / float64(max(1, l.samples.Load())*engines*slots)
}

func perShare(a demoAccount, tokens int64) float64 {
	return float64(tokens) / float64(a.account.Share)
}

// gap returns the largest difference in tokens per share between two accounts, in
// seconds of the total capacity per share.
func (l *load) gap(elapsed time.Duration) float64 {
	lowest, highest, total := 0.0, 0.0, int64(0)
	shares := redwingshunt.Share(0)
	for i, a := range l.accounts {
		tokens := l.service[i].tokens.Load()
		served := perShare(a, tokens)
		if i == 0 || served < lowest {
			lowest = served
		}
		highest = max(highest, served)
		total += tokens
		shares += a.account.Share
	}
	capacity := float64(total) / elapsed.Seconds() / float64(shares) // tokens per second and share
	if capacity == 0 {
		return 0
	}
	return (highest - lowest) / capacity
}

func (l *load) line(out io.Writer, elapsed time.Duration) {
	fmt.Fprintf(out, "%4.0fs ", elapsed.Seconds())
	for i, a := range l.accounts {
		fmt.Fprintf(out, " %s %.0f", a.account.Name, perShare(a, l.service[i].tokens.Load()))
	}
	fmt.Fprintf(out, "  gap %.2fs  busy %.0f%%\n", l.gap(elapsed), l.utilisation())
}

func (l *load) table(out io.Writer, elapsed time.Duration) {
	fmt.Fprintln(out)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "account\tshare\tsenders\trequests\trefused\ttokens\ttokens/share\t")
	for i, a := range l.accounts {
		s := &l.service[i]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t\n", a.account.Name, a.account.Share, a.senders,
			s.requests.Load(), s.refused.Load(), s.tokens.Load(), perShare(a, s.tokens.Load()))
	}
	_ = w.Flush()
	fmt.Fprintf(out, "\ngap: %.2f seconds of capacity\nutilisation: %.1f%% of slots busy\n",
		l.gap(elapsed), l.utilisation())
}
