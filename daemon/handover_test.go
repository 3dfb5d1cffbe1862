package daemon

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/bootstrapper"
	"github.com/redwingshunt/redwingshunt/recorder"
)

// graceTime is the time that a planned stop may take.
const graceTime = 8 * time.Second

// keeperSettings returns the settings of instances that form and mend the log by
// themselves. The first three are the founders.
func keeperSettings(t *testing.T, count int) []redwingshunt.Settings {
	t.Helper()
	var all []redwingshunt.Settings
	var links []netip.AddrPort
	for i := range count {
		address := netip.MustParseAddr(loopback(100 + i))
		links = append(links, netip.AddrPortFrom(address, 28181))
		all = append(all, redwingshunt.Settings{
			Name: redwingshunt.InstanceID(fmt.Sprintf("keeper-%c", 'a'+i)), Region: "north", Zone: redwingshunt.ZoneID(fmt.Sprint("north-", i%3)),
			Link: links[i], Admin: netip.AddrPortFrom(address, 28182), Data: t.TempDir(),
			Wanted: 3, Restart: true, Plain: true, Drain: graceTime - time.Second,
		})
	}
	for i := range all {
		all[i].Peers = links[:3]
		if i < 3 {
			all[i].Founders = links[:3]
		}
	}
	return all
}

// voters returns the voters of the control group as an instance knows them.
func (n *node) voters() []redwingshunt.InstanceID {
	groups := n.control.recorder.Status().Groups
	if len(groups) == 0 {
		return nil
	}
	return votersOf(groups[0])
}

// agreeOnVoters reports whether all nodes know the named voters and a leader.
func agreeOnVoters(nodes []*node, names ...redwingshunt.InstanceID) bool {
	for _, n := range nodes {
		groups := n.control.recorder.Status().Groups
		if !slices.Equal(n.voters(), names) || len(groups) == 0 || groups[0].Leader == "" {
			return false
		}
	}
	return true
}

// TestPlannedStopOfVoter guards against a voter that ends before its successor counts:
// the disk lost next would end the log.
func TestPlannedStopOfVoter(t *testing.T) {
	is := is.New(t)
	settings := keeperSettings(t, 4)
	var nodes []*node
	for _, s := range settings {
		nodes = append(nodes, runNode(t, s))
	}
	eventually(t, func() bool { return agreeOnVoters(nodes[:3], "keeper-a", "keeper-b", "keeper-c") })
	eventually(t, func() bool { return len(nodes[0].members.Live()) == len(nodes) })
	folder := nodes[0].control.recorder.Status().Folder
	began := time.Now()
	is.NoErr(nodes[0].stop())
	is.True(time.Since(began) < graceTime)
	// The successor may learn of the last step a moment later, but it takes no seat that
	// was not handed over before VoterGoneTimeout.
	for end := time.Now().Add(bootstrapper.VoterGoneTimeout / 2); time.Now().Before(end) && !agreeOnVoters(nodes[3:], "keeper-b", "keeper-c", "keeper-d"); {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(nodes[3].voters(), []redwingshunt.InstanceID{"keeper-b", "keeper-c", "keeper-d"})

	is.NoErr(nodes[1].stop()) // nobody is left to take its seat
	again := runNode(t, settings[0])
	eventually(t, func() bool {
		status := again.control.recorder.Status()
		return status.Folder != 0 && status.Folder != folder // the old one has no vote
	})
	nodes[1] = runNode(t, settings[1])
	eventually(t, func() bool { return len(nodes[3].voters()) == 3 && nodes[2].control.hasQuorum.Load() })
}

// TestRollKeepsVoters stops and starts each voter in turn while no other instance can
// take a seat. None may wait for one, and all must be voters in the end.
func TestRollKeepsVoters(t *testing.T) {
	is := is.New(t)
	settings := keeperSettings(t, 3)
	var nodes []*node
	for _, s := range settings {
		nodes = append(nodes, runNode(t, s))
	}
	names := []redwingshunt.InstanceID{"keeper-a", "keeper-b", "keeper-c"}
	eventually(t, func() bool { return agreeOnVoters(nodes, names...) })
	folders := make([]recorder.Status, len(nodes))
	for i, n := range nodes {
		folders[i] = n.control.recorder.Status()
	}
	for i, s := range settings {
		began := time.Now()
		is.NoErr(nodes[i].stop())
		is.True(time.Since(began) < handOverTimeout)
		nodes[i] = runNode(t, s)
		eventually(t, func() bool { return agreeOnVoters(nodes, names...) })
		is.Equal(nodes[i].control.recorder.Status().Folder, folders[i].Folder)
	}
}
