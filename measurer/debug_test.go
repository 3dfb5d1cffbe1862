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
	s := small(
			Load{Routers: []int{0, 1, 2, 3, 4, 5}, Clients: 40, Least: 4, Most: 8},
			Load{Routers: []int{0, 1, 2, 3, 4, 5}, Clients: 8, Least: 800, Most: 1200},
			flood(20, 0, 1, 2, 3, 4, 5))
	for at := 2 * time.Second; at < s.Length; at += 6 * time.Second {
		s.Faults = append(s.Faults, Fault{at, dump})
	}
	_ = fmt.Sprint
	NewFleet(s).Run()
}
