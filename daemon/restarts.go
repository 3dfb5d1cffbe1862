package daemon

import "github.com/redwingshunt/redwingshunt"

// restartDetector detects that the process of a voter has ended because a newer one
// runs in its place.
type restartDetector struct {
	incarnations map[redwingshunt.InstanceID]redwingshunt.Incarnation
	restarted    func(redwingshunt.InstanceID)
}

func newRestartDetector(restarted func(redwingshunt.InstanceID)) *restartDetector {
	return &restartDetector{
		incarnations: make(map[redwingshunt.InstanceID]redwingshunt.Incarnation),
		restarted:    restarted,
	}
}

// update compares the live instances with those seen before. A voter that is not live
// is remembered, since it may be absent before it returns.
func (r *restartDetector) update(live []redwingshunt.Instance) {
	for _, instance := range live {
		if !instance.Voter {
			continue
		}
		known, seen := r.incarnations[instance.ID]
		if seen && instance.Incarnation > known {
			r.restarted(instance.ID)
		}
		r.incarnations[instance.ID] = max(known, instance.Incarnation)
	}
}
