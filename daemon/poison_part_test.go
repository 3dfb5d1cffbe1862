package daemon

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/authenticator"
	"github.com/redwingshunt/redwingshunt/mimic"
)

// TestPromptPartThatEndsUpstreamsIsRefused sends requests that are all different but
// for one part of their prompt, which ends each upstream that begins to respond.
func TestPromptPartThatEndsUpstreamsIsRefused(t *testing.T) {
	const (
		upstreams  = 16
		tolerated  = 5               // upstreams that may end
		noticeTime = 4 * time.Second // until the part must be refused everywhere
		lateRuns   = 3               // requests with the part that may run after that
		probes     = 12
	)
	is := is.New(t)
	dialect := redwingshunt.DefaultDialect()
	options := func(o *Options) { o.Document = promptDocument() }
	nodes := []*node{runNode(t, testSettings(0, nil), options)}
	seeds := []netip.AddrPort{nodes[0].Link()}
	for i := 1; i < 4; i++ {
		settings := testSettings(i, seeds)
		settings.Routes = settings.Listen
		nodes = append(nodes, runNode(t, settings, options))
	}
	var engines []*mimic.Upstream
	for i := range upstreams {
		u := mimic.NewUpstream(mimic.UpstreamOptions{
			ID: redwingshunt.UpstreamID(fmt.Sprint("e", i)), Dialect: dialect, Slots: 8, Events: 3, Pause: time.Millisecond, Poison: "bad",
		})
		is.NoErr(u.Start())
		t.Cleanup(u.Stop)
		engines = append(engines, u)
		is.Equal(announceTo(t, nodes[0], fmt.Sprintf(
			`{"id":"e%d","service":"model","address":%q,"slots":8,"ttl":60000}`, i, u.Address())), 200)
	}
	runs := func() int { // of requests with the part
		total := 0
		for _, u := range engines {
			total += u.TotalOf("bad-")
		}
		return total
	}
	sent := 0
	ask := func(part string) int {
		sent++
		return askWithPart(t, nodes[1+sent%3], dialect, part, sent)
	}
	for range nodes[1:] {
		eventually(t, func() bool { return ask("good") == 200 })
	}

	for runs() < tolerated {
		ask("bad")
		is.Equal(ask("good"), 200)
	}
	time.Sleep(noticeTime)
	before := runs()
	for range probes {
		ask("bad")
		is.Equal(ask("good"), 200) // same client account, same first part
	}
	is.True(runs()-before <= lateRuns)
}

// promptDocument has one client account and a route with prompts.
func promptDocument() *redwingshunt.Document {
	return &redwingshunt.Document{
		Services: []redwingshunt.Service{{Name: "model", Engine: redwingshunt.Engine{Slots: 8, Memory: 1 << 20}}},
		Fleet:    redwingshunt.FleetConfiguration{Losses: 2},
		Accounts: []redwingshunt.Account{{Name: "alpha", Keys: []redwingshunt.KeyHash{authenticator.HashKey("EXAMPLE-KEY-alpha")}}},
		Routes: []redwingshunt.Route{{
			Name: "model", Host: "h", Prefix: "/model/", Kind: redwingshunt.RouteStream, Resumable: true, Prompt: true,
			Limit: 5 * time.Second, Aim: time.Second, Pause: time.Second, Attempts: 2,
			Targets: []redwingshunt.Target{{Service: "model", Weight: 1}},
		}},
	}
}

func announceTo(t *testing.T, n *node, body string) int {
	t.Helper()
	response, err := http.Post("http://"+n.Listen().String()+"/v1/upstreams", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode
}

// askWithPart sends a request of which no other has the identifier, the body and the
// last part, and returns its status, or zero if the response was cut off.
func askWithPart(t *testing.T, n *node, dialect redwingshunt.Dialect, part string, number int) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		"http://"+n.sockets.routes.Addr().String()+"/model/1", strings.NewReader(fmt.Sprint("body ", number)))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set(dialect.Request, fmt.Sprint(part, "-", number))
	request.Header.Set(dialect.Key, "EXAMPLE-KEY-alpha")
	request.Header.Set(dialect.Prompt, fmt.Sprintf("kind:100,%s:50,own-%d:10", part, number))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
