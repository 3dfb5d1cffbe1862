// Package demonstrator runs a complete fleet in one process and shows how it
// serves client accounts: three instances in two regions, simulated upstreams, and
// accounts with different shares and load patterns. It needs no files.
//
// It prints a progress line at each interval and a table at the end:
//
//	account   share  senders  requests   tokens   tokens/share
//	alpha         4       12       310    12400           3100
//
// Tokens are the sum of prompt and completion tokens, which is the cost of a
// request. The gap is the largest difference in tokens/share between two
// continuously backlogged accounts, in seconds of the service's total capacity.
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

// Configuration of the simulated engines.
const (
	engines     = 4
	slots       = 4 // concurrent requests of each engine
	firstToken  = 40 * time.Millisecond
	tokenTime   = 5 * time.Millisecond
	serviceName = "assistant"
)

// settleTimeout is how long Run waits for the fleet to form.
const settleTimeout = 10 * time.Second

// Options configures the duration and the output of the demonstration.
type Options struct {
	Duration time.Duration // of the load
	Interval time.Duration // between two progress lines
}

// Defaults returns the default options of the demo command.
func Defaults() Options {
	return Options{Duration: 20 * time.Second, Interval: 2 * time.Second}
}

// demoAccount is a client account of the demonstration.
type demoAccount struct {
	account  redwingshunt.Account
	senders  int // number of requests kept in flight
	tokens   int // maximum length of each completion
	instance int // index of the instance that it sends to; -1 for round-robin over all
}

// demoAccounts returns the client accounts. They send continuously, so all are
// backlogged: a large account with few long requests, small ones, and one that
// floods a single instance.
func demoAccounts() []demoAccount {
	return []demoAccount{
		{account: account("alpha", 4, "north"), senders: 60, tokens: 80, instance: -1},
		{account: account("beta", 2, "north"), senders: 24, tokens: 20, instance: 0},
		{account: account("gamma", 1, "south"), senders: 24, tokens: 40, instance: 2},
		{account: account("flood", 1, "south"), senders: 100, tokens: 10, instance: 2},
	}
}

func account(name redwingshunt.AccountID, share redwingshunt.Share, home redwingshunt.RegionID) redwingshunt.Account {
	return redwingshunt.Account{
		Name: name, Share: share, Home: home, Key: authenticator.HashKey(keyOf(name)),
		Queue: 512, Bytes: 64 << 20,
	}
}

func keyOf(name redwingshunt.AccountID) string { return "demo-" + string(name) }

func document(all []demoAccount) *redwingshunt.Document {
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
	for _, a := range all {
		d.Accounts = append(d.Accounts, a.account)
	}
	return d
}

// fleet is the running instances and engines.
type fleet struct {
	instances []*daemon.Daemon
	engines   []*mimic.Mimic
	group     errgroup.Group
	cancel    context.CancelFunc
}

// Run runs the demonstration for its duration or until ctx is done. It returns an
// error if the fleet does not start or form.
func Run(ctx context.Context, out io.Writer, options Options) error {
	all := demoAccounts()
	f, err := start(ctx, document(all))
	if err != nil {
		return trace.Wrap(err)
	}
	defer f.stop()
	if err := f.settle(ctx); err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintf(out, "%d instances, %d engines with %d slots each, %d client accounts\n\n",
		len(f.instances), engines, slots, len(all))
	load := newLoad(f, all)
	load.run(ctx, out, options)
	return nil
}

// start runs instances on loopback addresses and announces each engine to one
// instance.
func start(ctx context.Context, d *redwingshunt.Document) (*fleet, error) {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f := &fleet{cancel: cancel}
	var seeds []netip.AddrPort
	for i, region := range []redwingshunt.RegionID{"north", "north", "south"} {
		instance, err := daemon.New(instanceSettings(i, region, seeds), daemon.Options{
			Logger:   slog.New(slog.DiscardHandler),
			Document: d,
		})
		if err != nil {
			f.stop()
			return nil, trace.Wrap(err)
		}
		f.instances = append(f.instances, instance)
		seeds = append(seeds, instance.Link())
		f.group.Go(func() error { return instance.Run(running) })
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
	instance := f.instances[index%len(f.instances)]
	region := instance.Self().Region
	engine := mimic.New(mimic.Options{
		ID: redwingshunt.UpstreamID(fmt.Sprintf("engine-%d", index+1)), Service: serviceName,
		Region: region, Zone: instance.Self().Zone, Slots: slots, First: firstToken, Token: tokenTime,
	})
	if _, err := engine.Start("127.0.0.1:0"); err != nil {
		return trace.Wrap(err)
	}
	engine.Announce(instance.Listen().String())
	f.engines = append(f.engines, engine)
	return nil
}

// settle waits until every instance sees all others as live.
func (f *fleet) settle(ctx context.Context) error {
	deadline := time.NewTimer(settleTimeout)
	defer deadline.Stop()
	poll := time.NewTicker(50 * time.Millisecond)
	defer poll.Stop()
	for !f.complete() {
		select {
		case <-poll.C:
		case <-deadline.C:
			return trace.LimitExceeded("the fleet did not form within %v", settleTimeout)
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
	return nil
}

func (f *fleet) complete() bool {
	for _, instance := range f.instances {
		if len(instance.Live()) != len(f.instances) {
			return false
		}
	}
	return true
}

// busy returns the number of slots that run a request.
func (f *fleet) busy() int {
	busy := 0
	for _, engine := range f.engines {
		busy += engine.Busy()
	}
	return busy
}

// controlBytes returns the number of bytes that the instances sent to each other,
// within and across regions.
func (f *fleet) controlBytes() (within, across uint64) {
	for _, instance := range f.instances {
		for _, t := range instance.Traffic() {
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
