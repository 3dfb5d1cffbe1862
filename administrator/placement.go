package administrator

import (
	"net/http"
	"strconv"

	"github.com/redwingshunt/redwingshunt"
)

// PlacementReader explains where requests of routes would be placed.
type PlacementReader interface {
	// Explain returns one entry per service of the route, in their order. It places and
	// counts nothing. Its error is a *Problem.
	Explain(query PlacementQuery) ([]Placement, error)
}

// PlacementQuery describes a request.
type PlacementQuery struct {
	Host    string
	Path    string
	Account redwingshunt.AccountID // empty for none
	Prompt  string                 // as in the header of the prompt, ID:TOKENS,...; may be empty
	Output  int64                  // maximum tokens to generate; zero if unknown
}

// Placement is where one instance would place a request now.
type Placement struct {
	Instance   redwingshunt.InstanceID `json:"instance"`
	Route      redwingshunt.RouteID    `json:"route"`
	Service    redwingshunt.ServiceID  `json:"service"`
	Weight     int                     `json:"weight"` // of the service in the route
	Account    redwingshunt.AccountID  `json:"account"`
	Upstream   redwingshunt.UpstreamID `json:"upstream"`          // chosen; empty if the request would be refused
	Refusal    redwingshunt.Reason     `json:"refusal,omitempty"` // why it would be refused
	Status     int                     `json:"status,omitempty"`  // of the refusal
	Detail     string                  `json:"detail,omitempty"`  // of the refusal
	After      Duration                `json:"after"`             // of the refusal, until the caller may retry
	Admitted   int64                   `json:"admitted"`          // tokens per second of the account, in the fleet
	Share      int64                   `json:"share"`             // tokens per second that an account may have; zero if none is limited
	Ratio      float64                 `json:"ratio"`             // admitted tokens divided by the share
	Blind      bool                    `json:"blind"`             // the loads of other instances are not known
	Candidates []Candidate             `json:"candidates"`        // by cost, then the excluded ones
}

// Candidate is an upstream that the instance uses.
type Candidate struct {
	ID        redwingshunt.UpstreamID `json:"id"`
	Region    redwingshunt.RegionID   `json:"region"`
	Zone      redwingshunt.ZoneID     `json:"zone"`
	Version   string                  `json:"version"`
	Wait      Duration                `json:"wait"`      // predicted, before it begins with the request
	Predicted Duration                `json:"predicted"` // until the first byte or event
	Cost      Duration                `json:"cost"`      // by which upstreams are compared
	Unread    int64                   `json:"unread"`    // prompt tokens that it has not cached
	Home      bool                    `json:"home"`      // it is to cache the shared part of the prompt
	Excluded  string                  `json:"excluded,omitempty"`
	Left      Duration                `json:"left"` // until the end of the exclusion; zero if not known
}

func (s *server) getPlacement(w http.ResponseWriter, r *http.Request) error {
	if s.parts.Placements == nil {
		return notAvailable("address for routes")
	}
	values := r.URL.Query()
	query := PlacementQuery{
		Host: values.Get("host"), Path: values.Get("path"), Account: redwingshunt.AccountID(values.Get("account")),
		Prompt: values.Get("prompt"),
	}
	if query.Host == "" || query.Path == "" {
		return invalid("host or path is missing", "name both, as in the request of the caller")
	}
	if text := values.Get("output"); text != "" {
		output, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return invalid("output is not a number of tokens", "give a whole number, or leave it out")
		}
		query.Output = int64(output)
	}
	placements, err := s.parts.Placements.Explain(query)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, placements)
	return nil
}
