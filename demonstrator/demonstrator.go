// Package demonstrator runs a whole fleet in one process and shows how it
// serves client accounts: three instances in two regions, stand-in upstreams,
// and accounts with different shares and manners of sending. It needs no file.
//
// It prints a table while it runs and a final one:
//
//	account   share  senders  requests   tokens   tokens/share
//	alpha         4       12       310    12400           3100
//
// Tokens are those of prompts and answers, which is what a request costs. The
// gap is the greatest difference of tokens/share between two accounts that
// were backlogged all the time, in seconds of the service's whole capacity.
//
// # Usage
//
//	err := demonstrator.Run(ctx, os.Stdout, demonstrator.Defaults())
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/authenticator"
	"github.com/redwingshunt/redwingshunt/daemon"
	"github.com/redwingshunt/redwingshunt/mimic"
)

// The stand-in engines of the demonstration.
const (
	engines     = 4
	slots       = 4 // requests that each engine runs at once
	firstToken  = 40 * time.Millisecond
	tokenTime   = 5 * time.Millisecond
	serviceName = "assistant"
)

// settleTime is how long the fleet may take to form.
const settleTime = 10 * time.Second

// Options set the length of the demonstration.
type Options struct {
	Duration time.Duration // of the load
	Interval time.Duration // between two lines
}

// Defaults returns the options of the demo verb.
func Defaults() Options {
	return Options{Duration: 20 * time.Second, Interval: 2 * time.Second}
}

// member is a client account of the demonstration.
type member struct {
	account redwingshunt.Account
	senders int // requests that it keeps in flight
	tokens  int // length of each completion
	node    int // instance that it sends to; -1 for all in turn
}

// members send all the time, so all are backlogged: a large account with few
// long requests, small ones, and one that floods a single instance.
func members() []member {
	return []member{
		{account: account("alpha", 4, "north"), senders: 60, tokens: 80, node: -1},
		{account: account("beta", 2, "north"), senders: 24, tokens: 20, node: 0},
		{account: account("gamma", 1, "south"), senders: 24, tokens: 40, node: 2},
		{account: account("flood", 1, "south"), senders: 100, tokens: 10, node: 2},
	}
}

func account(name redwingshunt.AccountID, share redwingshunt.Share, home redwingshunt.RegionID) redwingshunt.Account {
	return redwingshunt.Account{
		Name: name, Share: share, Home: home, Key: authenticator.HashKey(keyOf(name)),
		Queue: 512, Bytes: 64 << 20,
	}
}

func keyOf(name redwingshunt.AccountID) string { return "demo-" + string(name) }

func document(all []member) *redwingshunt.Document {
	d := &redwingshunt.Document{
		Regions: []redwingshunt.Region{
			{Name: "north", Zones: []redwingshunt.ZoneID{"north-a"}},
			{Name: "south", Zones: []redwingshunt.ZoneID{"south-a"}},
		},
		Services: []redwingshunt.Service{{
			Name: serviceName, Kind: redwingshunt.ServiceEngine, Model: serviceName,
			Cost: redwingshunt.CostTokens, Body: 1 << 20,
			Wait: time.Minute, Stall: 10 * time.Second, Retries: 2,
		}},
		Fleet: redwingshunt.FleetConfiguration{
			Gap: time.Second, Groups: 1, Keep: 24 * time.Hour, Space: 64 << 20, Budget: 10, Losses: 2,
		},
	}
	for _, m := range all {
		d.Accounts = append(d.Accounts, m.account)
	}
	return d
}

// fleet is everything that runs.
type fleet struct {
	nodes   []*daemon.Daemon
	engines []*mimic.Mimic
	group   errgroup.Group
	cancel  context.CancelFunc
}

// Run runs the demonstration until it is over or ctx ends.
func Run(ctx context.Context, out io.Writer, options Options) error {
	all := members()
	f, err := start(ctx, document(all))
	if err != nil {
		return trace.Wrap(err)
	}
	defer f.stop()
	if err := f.settle(ctx); err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintf(out, "%d instances, %d engines with %d slots each, %d client accounts\n\n",
		len(f.nodes), engines, slots, len(all))
	load := newLoad(f, all)
	load.run(ctx, out, options)
	return nil
}

// start runs instances on loopback addresses and announces the engines, each
// to one instance.
func start(ctx context.Context, d *redwingshunt.Document) (*fleet, error) {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f := &fleet{cancel: cancel}
	var seeds []netip.AddrPort
	for i, region := range []redwingshunt.RegionID{"north", "north", "south"} {
		node, err := daemon.New(instanceSettings(i, region, seeds), daemon.Options{
			Logger:   slog.New(slog.DiscardHandler),
			Document: d,
		})
		if err != nil {
			f.stop()
			return nil, trace.Wrap(err)
		}
		f.nodes = append(f.nodes, node)
		seeds = append(seeds, node.Link())
		f.group.Go(func() error { return node.Run(running) })
	}
	for i := range engines {
		if err := f.startEngine(i); err != nil {
			f.stop()
			return nil, trace.Wrap(err)
		}
	}
	return f, nil
}

func instanceSettings(index int, region redwingshunt.RegionID, seeds []netip.AddrPort) redwingshunt.Settings {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(index + 1)}), 0)
	return redwingshunt.Settings{
		Name:   redwingshunt.InstanceID(fmt.Sprintf("node-%c", 'a'+index)),
		Region: region, Zone: redwingshunt.ZoneID(region) + "-a",
		Listen: address, Link: address, Admin: address, Peers: append([]netip.AddrPort(nil), seeds...),
		Notice: 100 * time.Millisecond, Drain: 5 * time.Second, Plain: true,
	}
}

func (f *fleet) startEngine(index int) error {
	node := f.nodes[index%len(f.nodes)]
	region := node.Self().Region
	engine := mimic.New(mimic.Options{
		ID: redwingshunt.UpstreamID(fmt.Sprintf("engine-%d", index+1)), Service: serviceName,
		Region: region, Zone: node.Self().Zone, Slots: slots, First: firstToken, Token: tokenTime,
	})
	if _, err := engine.Start("127.0.0.1:0"); err != nil {
		return trace.Wrap(err)
	}
	engine.Announce(node.Listen().String())
	f.engines = append(f.engines, engine)
	return nil
}

// settle waits until all instances know each other.
func (f *fleet) settle(ctx context.Context) error {
	deadline := time.NewTimer(settleTime)
	defer deadline.Stop()
	poll := time.NewTicker(50 * time.Millisecond)
	defer poll.Stop()
	for !f.complete() {
		select {
		case <-poll.C:
		case <-deadline.C:
			return trace.LimitExceeded("the fleet did not form within %v", settleTime)
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
	return nil
}

func (f *fleet) complete() bool {
	for _, node := range f.nodes {
		if len(node.Live()) != len(f.nodes) {
			return false
		}
	}
	return true
}

// busy returns the slots that run a request.
func (f *fleet) busy() int {
	busy := 0
	for _, engine := range f.engines {
		busy += engine.Busy()
	}
	return busy
}

// controlBytes returns what the instances sent to each other, within and
// across regions.
func (f *fleet) controlBytes() (within, across uint64) {
	for _, node := range f.nodes {
		for _, t := range node.Traffic() {
			within += t.Bytes
			across += t.CrossRegionBytes
		}
	}
	return within, across
}

func (f *fleet) stop() {
	for _, engine := range f.engines {
		engine.Stop()
	}
	f.cancel()
	_ = f.group.Wait()
	for _, engine := range f.engines {
		engine.Wait()
	}
}
