package daemon

import "time"

// contactAge returns the time since this instance last heard of a quorum of the voters.
// In a fleet whose document does not come from the log it is zero.
func (d *Daemon) contactAge() time.Duration {
	if d.fixed != nil {
		return 0
	}
	return d.control.subscription.Status().Age
}

// ColdTimeLimited counts an announcement of a cold time that was limited.
func (d *Daemon) ColdTimeLimited() { d.metrics.scope.Counter("cold_times_limited").Inc(1) }
