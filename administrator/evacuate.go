package administrator

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/gorilla/mux"

	"github.com/redwingshunt/redwingshunt"
)

const (
	evacuationTimeout = 5 * time.Second // of one order
	maxZoneBytes      = 255             // of the name of an availability zone
)

// Evacuator starts and ends evacuations of availability zones.
type Evacuator interface {
	// Evacuate starts the evacuation of an availability zone, or ends it, and
	// returns once the order is committed.
	Evacuate(ctx context.Context, zone redwingshunt.ZoneID, end bool) (redwingshunt.Evacuation, error)
}

func (s *server) putEvacuation(w http.ResponseWriter, r *http.Request) error {
	return s.evacuate(w, r, false)
}

func (s *server) deleteEvacuation(w http.ResponseWriter, r *http.Request) error {
	return s.evacuate(w, r, true)
}

// evacuate starts or ends the evacuation of an availability zone.
func (s *server) evacuate(w http.ResponseWriter, r *http.Request, end bool) error {
	if s.parts.Evacuator == nil {
		return notAvailable("log for evacuations; its document is a file named in the settings")
	}
	zone := redwingshunt.ZoneID(mux.Vars(r)["zone"])
	if !utf8.ValidString(string(zone)) || len(zone) > maxZoneBytes {
		return invalid(fmt.Sprintf("the availability zone is not UTF-8 or has more than %d bytes", maxZoneBytes),
			"redwingshunt show --section regions lists them")
	}
	if snapshot := s.parts.Configuration.Current(); snapshot != nil && !hasZone(snapshot.Document, zone) {
		return &Problem{
			Status: http.StatusNotFound, Reason: ReasonNoZone,
			Detail: fmt.Sprintf("the document has no availability zone %q", zone),
			Next:   "redwingshunt show --section regions lists them",
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), evacuationTimeout)
	defer cancel()
	evacuation, err := s.parts.Evacuator.Evacuate(ctx, zone, end)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, evacuation)
	return nil
}

// hasZone reports whether an availability zone is in the regions of a document, if it
// has any. A zone that is evacuated may be named although its region was removed.
func hasZone(document *redwingshunt.Document, zone redwingshunt.ZoneID) bool {
	if len(document.Regions) == 0 || slices.Contains(document.Evacuated, zone) {
		return true
	}
	return slices.ContainsFunc(document.Regions, func(region redwingshunt.Region) bool {
		return slices.Contains(region.Zones, zone)
	})
}
