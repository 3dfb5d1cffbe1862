package daemon

import (
	"net/http"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/administrator"
	"github.com/redwingshunt/redwingshunt/matcher"
	"github.com/redwingshunt/redwingshunt/placer"
	"github.com/redwingshunt/redwingshunt/relayer"
)

// Explain implements administrator.PlacementReader. It returns one entry for each service
// of the route.
func (s *routeServer) Explain(query administrator.PlacementQuery) ([]administrator.Placement, error) {
	snapshot := s.daemon.configuration.Current()
	if snapshot == nil {
		return nil, &administrator.Problem{
			Status: http.StatusServiceUnavailable, Reason: administrator.ReasonNoConfiguration,
			Detail: "this instance has no configuration yet", Next: "ask another instance",
		}
	}
	document := snapshot.Document
	route := matcher.New(document).Find(query.Host, query.Path)
	if route == nil {
		return nil, invalidPlacement("no route fits the host and path")
	}
	isQueried := func(a redwingshunt.Account) bool { return a.Name == query.Account }
	if query.Account != "" && !slices.ContainsFunc(document.Accounts, isQueried) {
		return nil, invalidPlacement("there is no such client account")
	}
	prompt, ok := relayer.ParsePrompt(query.Prompt)
	if !ok {
		return nil, invalidPlacement("the prompt is not a list of ID:TOKENS, separated by commas")
	}
	var placements []administrator.Placement
	regions := redwingshunt.NewAllowedRegions(route.Regions...).Intersect(document.AccountRegions()[query.Account])
	for _, target := range route.Targets {
		explanation, refusal := s.allocator.Explain(&redwingshunt.Placement{
			Service: target.Service, Account: query.Account, Route: route, Prompt: prompt, Output: query.Output,
			Attempt: 1, Deadline: time.Now().Add(route.Limit), Regions: regions,
		})
		placement := administrator.Placement{
			Instance: s.daemon.members.Self().ID, Route: route.Name, Service: target.Service, Weight: target.Weight,
			Account: query.Account, Upstream: explanation.Chosen.Or(""), Admitted: int64(explanation.Admitted), Ratio: explanation.Ratio,
			Blind: explanation.Blind, Candidates: []administrator.Candidate{},
		}
		if explanation.Share < float64(1<<62) { // otherwise no account is limited
			placement.Share = int64(explanation.Share)
		}
		if refusal != nil {
			placement.Refusal, placement.Status, placement.Detail = refusal.Reason, refusal.Status, refusal.Detail
			placement.After = administrator.Duration{Duration: refusal.RetryAfter}
		}
		for _, c := range explanation.Candidates {
			placement.Candidates = append(placement.Candidates, candidateOf(c))
		}
		placements = append(placements, placement)
	}
	return placements, nil
}

func candidateOf(c placer.Explained) administrator.Candidate {
	candidate := administrator.Candidate{
		ID: c.Upstream.ID, Region: c.Upstream.Region, Zone: c.Upstream.Zone, Version: c.Upstream.Version,
		Wait: administrator.Duration{Duration: c.Wait}, Predicted: administrator.Duration{Duration: c.Predicted},
		Cost: administrator.Duration{Duration: c.Cost}, Unread: c.Unread, Home: c.Home, Excluded: string(c.Excluded),
	}
	if !c.Until.IsZero() {
		candidate.Left = administrator.Duration{Duration: max(time.Until(c.Until), 0)}
	}
	return candidate
}

func invalidPlacement(detail string) error {
	return &administrator.Problem{
		Status: http.StatusBadRequest, Reason: administrator.ReasonInvalid, Detail: detail,
		Next: "see redwingshunt show for the routes and accounts in force",
	}
}
