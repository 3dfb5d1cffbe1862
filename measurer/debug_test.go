package measurer

import (
	"fmt"
	"testing"
	"time"
)

func dump(f *Fleet) {
	fmt.Println("==", f.now.Sub(f.start))
	for _, l := range f.scenario.Loads {
		a := f.tokens[l.Account]
		sv := a.done
		for r := range a.active {
			sv += r.engine.served(f.now, r.job)
		}
		fmt.Printf("  %s wait %3d run %2d service %.2fs ", l.Account, a.waiting, len(a.active), sv/f.scenario.capacity())
		for _, n := range f.nodes {
			if n.alive && n.duty.Active {
				for _, st := range n.owner.Standings(100) {
					if st.Account == l.Account {
						fmt.Printf(" | %s V %.2f w %d r %d", n.instance.Region, float64(st.Virtual)/1024/f.scenario.capacity(), st.Waiting, st.Running)
					}
				}
			}
		}
		fmt.Println()
	}
	for _, n := range f.nodes {
		if n.alive && n.duty.Active {
			fmt.Println("  ", n.instance.ID, n.owner.Debug())
		}
	}
	for _, e := range f.engines {
		fmt.Print(" ", e.upstream.ID, ":", len(e.running), "/", len(e.waiting))
	}
	fmt.Println()
}

func TestDebug(t *testing.T) {
	for _, s := range []*Scenario{small(flood(60, 0, 1), flood(60, 2, 3))} {
		for at := 1 * time.Second; at < s.Length; at += time.Second {
			s.Faults = append(s.Faults, Fault{at, func(f *Fleet) {
				if f.gauge.slots > 0 {
					fmt.Printf("%v u %.3f ", f.now.Sub(f.start), f.gauge.busy/f.gauge.slots)
					for _, e := range f.engines {
						fmt.Print(" ", e.upstream.ID, ":", len(e.running), "/", len(e.waiting))
					}
					for _, l := range s.Loads {
						a := f.tokens[l.Account]
						sv := a.done
						for r := range a.active {
							sv += r.engine.served(f.now, r.job)
						}
						fmt.Printf(" w %d %.2f", a.waiting, sv/s.capacity())
					}
					for _, n := range f.nodes {
						if n.duty.Active {
							fmt.Print("   ", n.instance.ID, n.owner.Debug())
						}
					}
					fmt.Println()
				}
				f.gauge.busy, f.gauge.slots = 0, 0
			}})
		}
		NewFleet(s).Run()
	}
}
