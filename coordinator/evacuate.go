package coordinator

import "github.com/redwingshunt/redwingshunt/scheduler"

// capacity returns the slots of the cells that this instance owns, and the number of their
// upstreams that get no requests because of an evacuation.
func (d *serviceState) capacity() (slots, evacuated int) {
	for _, owner := range d.ownerSet.Active() {
		slots += owner.Slots()
		evacuated += owner.Evacuated()
	}
	return slots, evacuated
}

// configureOwners applies the document in force to the owners, and logs a change of the
// number of evacuated upstreams.
func (d *serviceState) configureOwners(config scheduler.Configured) {
	_, before := d.capacity()
	d.stepOwnerLocked(config)
	if slots, evacuated := d.capacity(); evacuated != before {
		d.coordinator.options.Logger.Info("evacuated upstreams changed", "service", string(d.service),
			"before", before, "upstreams", evacuated, "slots", slots)
	}
}
