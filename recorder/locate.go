package recorder

import (
	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/locator"
	"github.com/redwingshunt/redwingshunt/replicator"
)

// locate hands the groups that this instance leads over to the regions that
// they prefer, as package locator decides. It looks once in a heartbeat period.
func (r *Recorder) locate() {
	now := r.options.Clock.Now()
	passed := now.Sub(r.located)
	if r.options.Prefer == nil || passed >= 0 && passed < replicator.HeartbeatPeriod {
		return
	}
	r.located = now
	live := r.options.Members.Live()
	for _, g := range r.ordered() {
		g.locate(live)
	}
}

// locate hands the group over if it is to be led elsewhere.
func (g *group) locate(live []redwingshunt.Instance) {
	r := g.recorder
	view := locator.View{Status: g.core.Status(), Home: r.options.Prefer(g.id), Live: live}
	target, ok := r.locator.Target(r.options.Clock.Now(), g.id, view).Get()
	if !ok {
		return
	}
	home, _ := view.Home.Get()
	r.options.Logger.Info("handing a group over to its region", "group", g.id, "to", target.Instance, "region", home)
	g.step(replicator.TransferProposed{To: target})
}
