package daemon

import "github.com/redwingshunt/redwingshunt"

// mayHedge reports whether requests of a service may be hedged by the document in force. It
// is asked once a second for each class of requests whose times are shared.
func (d *Daemon) mayHedge(service redwingshunt.ServiceID) bool {
	snapshot := d.configuration.Current()
	if snapshot == nil {
		return false
	}
	for i := range snapshot.Document.Services {
		if s := &snapshot.Document.Services[i]; s.Name == service {
			return s.Hedge.Or(d.settings.Hedge) > 0
		}
	}
	return false
}
