package budgeter

// Connections are the limits of open connections of each interface; zero is unlimited.
// The interface of routes has limits of its own, see package daemon.
type Connections struct {
	Listen  int // callers and announcements
	Link    int
	Control int
	Admin   int
	Metrics int
	Ready   int
}

const (
	// listenBytes is the memory for one connection to the address for callers and
	// upstreams. The connection itself takes 18 KiB; the rest is for its request.
	listenBytes = 256 << 10
	// maxLinks is enough for a fleet of 360 instances that all dial this one, a quarter of
	// them again while their connections from before a loss of power have not timed out.
	maxLinks = 450
	// maxControl is enough for the connections of 140 upstreams and of operators.
	maxControl = 150
	// maxOthers is enough for the few clients of the administration API, the metrics
	// and the readiness check.
	maxOthers = 32
)

// ConnectionsOf returns the limits for an instance with a memory limit in bytes and a
// limit of file descriptors, of which a number is for connections of callers of routes
// and services and of the upstreams that serve them. Zero is unlimited for each.
func ConnectionsOf(memory int64, files, serving int) Connections {
	if memory == 0 && files == 0 {
		return Connections{}
	}
	c := Connections{Listen: int(memory / listenBytes), Link: maxLinks, Control: maxControl, Admin: maxOthers, Metrics: maxOthers, Ready: maxOthers}
	if files > 0 {
		c.Link = min(c.Link, files/8)
		c.Control = min(c.Control, files/8)
		if half := serving / 2; c.Listen == 0 || c.Listen > half { // the other half is for upstreams
			c.Listen = half
		}
	}
	return c
}
