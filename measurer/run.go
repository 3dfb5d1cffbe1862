package measurer

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// Options selects what is measured.
type Options struct {
	Small bool   // skips the table of growing fleets
	Seed  uint64 // of all scenarios; zero selects 1
}

// Run measures and prints tables in Markdown. Cancelling the context ends it
// after the current scenario.
func Run(ctx context.Context, options Options, out io.Writer) error {
	if options.Seed == 0 {
		options.Seed = 1
	}
	sections := []func(context.Context, Options, io.Writer) error{measureProcessor, measureUsers, measurePolicies, measureGap}
	if !options.Small {
		sections = append(sections, measureGrowth)
	}
	for _, section := range sections {
		if err := section(ctx, options, out); err != nil {
			return err
		}
	}
	return nil
}

// fleetSize describes one service on a fleet and the size of the fleet.
type fleetSize struct {
	name      string
	regions   []redwingshunt.RegionID
	zones     int
	routers   int
	upstreams int
	slots     int
	rate      float64 // tokens per second of one slot
	accounts  int
	backlog   int // accounts that are always backlogged
	least     int // tokens
	most      int
	across    time.Duration
	gap       time.Duration
	services  int // number of identical services on the same fleet
}

var saddlery = fleetSize{
	name: "saddlery, assistant", regions: []redwingshunt.RegionID{"north", "central", "south"}, zones: 1,
	routers: 9, upstreams: 20, slots: 8, rate: 40, accounts: 15, backlog: 9, least: 40, most: 600,
	across: 15 * time.Millisecond, gap: time.Second, services: 1,
}

// app returns the size of the user's plain service: short calls, three upstreams,
// below capacity.
func (z fleetSize) app(name string) fleetSize {
	z.name = name
	z.upstreams, z.slots, z.rate, z.least, z.most, z.backlog = 3, 8, 10, 1, 2, 0
	return z
}

// variant returns the size with another name, delay across regions and gap.
func (z fleetSize) variant(name string, across, gap time.Duration) fleetSize {
	z.name, z.across, z.gap = name, across, gap
	return z
}

// scenario builds one run. Backlogged accounts call from very uneven numbers of
// routers, and a few have large shares; the other accounts call occasionally.
func (z fleetSize) scenario(policy Policy, seed uint64) *Scenario {
	s := &Scenario{
		Name: z.name, Policy: policy, Slots: z.slots, Rate: z.rate, Inside: 500 * time.Microsecond,
		Across: z.across, Gap: z.gap, Lag: time.Second, Length: 150 * time.Second, Warm: 30 * time.Second, Seed: seed,
	}
	n := len(z.regions)
	for i, region := range z.regions {
		s.Places = append(s.Places, Place{
			Region: region, Zones: z.zones,
			Routers: (z.routers + n - 1 - i) / n, Upstreams: (z.upstreams + n - 1 - i) / n,
		})
	}
	running := z.upstreams * z.slots
	for i := range z.accounts {
		l := Load{
			Account: redwingshunt.AccountID(fmt.Sprintf("account-%03d", i)), Share: 1,
			Least: z.least, Most: z.most, Clients: 1, Think: 5 * time.Second,
			Routers: consecutiveRouters(z.routers, i, 1+i%3),
		}
		if i < z.backlog {
			z.flood(&l, i, running)
		}
		s.Loads = append(s.Loads, l)
	}
	return s
}

// flood makes an account call without pause, with about three times as many
// clients as requests that can run for it concurrently.
func (z fleetSize) flood(l *Load, i, running int) {
	l.Share = redwingshunt.Share(max(1, 4-i))
	count := []int{1, z.routers, max(1, z.routers/3), max(1, z.routers/9)}[i%4]
	l.Routers = consecutiveRouters(z.routers, i*z.routers/max(1, z.backlog), count)
	l.Think = 0
	l.Clients = max(2, 3*int(l.Share)*running/z.backlog/count)
}

// consecutiveRouters returns the indexes of count routers, starting at first and
// wrapping around.
func consecutiveRouters(routers, first, count int) []int {
	list := make([]int, 0, count)
	for i := range count {
		list = append(list, (first+i)%routers)
	}
	return list
}

func header(out io.Writer, title, first string) {
	fmt.Fprintf(out, "\n%s\n\n", title)
	fmt.Fprintf(out, "| %s | gap s | less largest s | utilisation | longest wait / fair | sent B/s a daemon | most | sent and received, most | across B/s a pair | moved | requests |\n", first)
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|")
}

func row(out io.Writer, name string, r Result) {
	fmt.Fprintf(out, "| %s | %.2f | %.2f | %.3f | %.2f | %.0f | %.0f | %.0f | %.0f | %.1f%% | %d |\n",
		name, r.Gap, r.Excess, r.Utilisation, r.Ratio, r.Sent, r.Most, r.Busiest, r.Across, 100*r.Moved, r.Requests)
}

// measureUsers measures the services of both users under load, and an idle fleet.
func measureUsers(ctx context.Context, options Options, out io.Writer) error {
	tutor := saddlery.variant("tuition, tutor-model", 8*time.Millisecond, 4*time.Second)
	header(out, "Today's sizes", "service")
	for _, z := range []fleetSize{saddlery, saddlery.app("saddlery, fitting-app"), tutor, tutor.app("tuition, studio-desk")} {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		row(out, z.name, NewFleet(z.scenario(PolicyOwner, options.Seed)).Run())
	}
	idle := saddlery.scenario(PolicyOwner, options.Seed)
	idle.Loads = nil
	row(out, "idle", NewFleet(idle).Run())
	return nil
}

// measurePolicies compares the policies at the size of examples/saddlery.yaml.
func measurePolicies(ctx context.Context, options Options, out io.Writer) error {
	header(out, "Ways compared (saddlery, assistant)", "way")
	for _, p := range []Policy{PolicyOwner, PolicyLeased, PolicyShared, PolicyLocal, PolicyFirst} {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		row(out, string(p), NewFleet(saddlery.scenario(p, options.Seed)).Run())
	}
	header(out, "Ways compared while the holder of the first region dies (3 s from its death)", "way")
	for _, p := range []Policy{PolicyOwner, PolicyLeased, PolicyShared, PolicyLocal} {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		row(out, string(p), measureOwnerLoss(saddlery.scenario(p, options.Seed)))
	}
	return nil
}

// measureOwnerLoss measures the 3 s after an owner is killed, or the last router
// where there is no owner.
func measureOwnerLoss(s *Scenario) Result {
	const at = 60 * time.Second
	s.Warm, s.Length = at, at+3*time.Second
	s.Faults = []Fault{{at, func(f *Fleet) {
		for i, n := range f.nodes {
			if n.owns() || i == len(f.nodes)-1 {
				f.Kill(i)
				return
			}
		}
	}}}
	return NewFleet(s).Run()
}

// measureGap measures the traffic across regions for several allowed gaps.
func measureGap(ctx context.Context, options Options, out io.Writer) error {
	header(out, "Allowed gap between regions against traffic (work waits in the first region only)", "fleet.gap")
	for _, gap := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second} {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		z := saddlery
		z.gap = gap
		s := z.scenario(PolicyOwner, options.Seed)
		for i := range s.Loads {
			l := &s.Loads[i]
			if i%3 != 0 || l.Think > 0 {
				continue
			}
			l.Clients *= len(l.Routers)
			l.Routers = []int{0}
		}
		row(out, gap.String(), NewFleet(s).Run())
	}
	return nil
}

// measureGrowth measures one service on fleets of increasing size.
func measureGrowth(ctx context.Context, options Options, out io.Writer) error {
	header(out, "Growth (one service)", "routers, upstreams, accounts")
	large := saddlery
	large.regions, large.zones, large.across = []redwingshunt.RegionID{"west", "east"}, 4, 30*time.Millisecond
	large.slots, large.rate, large.least, large.most = 39, 22, 100, 750
	grow := func(z fleetSize, routers, upstreams, accounts, services int) fleetSize {
		z.routers, z.upstreams, z.accounts, z.services = routers, upstreams, accounts, services
		z.backlog = max(9, accounts/10)
		return z
	}
	sizes := []fleetSize{saddlery, grow(saddlery, 36, 40, 60, 4), grow(large, 90, 60, 150, 8), grow(large, 360, 146, 460, 30)}
	var totals []string
	for _, z := range sizes {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		r := NewFleet(z.scenario(PolicyOwner, options.Seed)).Run()
		row(out, fmt.Sprintf("%d, %d, %d", z.routers, z.upstreams, z.accounts), r)
		totals = append(totals, fmt.Sprintf("| %d | %d | %.1f | %.1f | %.1f | %.1f |", z.routers, z.services,
			float64(z.services)*r.Sent/1000, (r.Most+float64(z.services-1)*r.Sent)/1000,
			float64(z.services)*2*r.Sent/1000, (r.Busiest+float64(z.services-1)*2*r.Sent)/1000))
	}
	fmt.Fprintln(out, "\nAll services of the fleet, as many times the one above; the busiest owner has one of the busiest cells")
	fmt.Fprintln(out, "\n| routers | services | KB/s sent a daemon | busiest | sent and received a daemon | busiest |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|")
	for _, t := range totals {
		fmt.Fprintln(out, t)
	}
	return nil
}
