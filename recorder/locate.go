package recorder

import (
	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/locator"
	"github.com/redwingshunt/redwingshunt/replicator"
)

// transferToHome transfers the groups that this instance leads to their home
// regions, as package locator decides. It checks at most once per heartbeat
// period.
func (r *Recorder) transferToHome() {
	now := r.options.Clock.Now()
	elapsed := now.Sub(r.lastHomeCheck)
	if r.options.Prefer == nil || elapsed >= 0 && elapsed < replicator.HeartbeatPeriod {
		return
	}
	r.lastHomeCheck = now
	live := r.options.Members.Live()
	for _, g := range r.orderedGroups() {
		g.transferToHome(live)
	}
}

// transferToHome transfers the group if the locator selects another leader.
func (g *group) transferToHome(live []redwingshunt.Instance) {
	r := g.recorder
	view := locator.View{Status: g.core.Status(), Home: r.options.Prefer(g.id), Live: live}
	target, ok := r.locator.Target(r.options.Clock.Now(), g.id, view).Get()
	if !ok {
		return
	}
	home, _ := view.Home.Get()
	r.options.Logger.Info("transferring group leadership to its home region", "group", g.id, "to", target.Instance, "region", home)
	g.step(replicator.TransferProposed{To: target})
}
