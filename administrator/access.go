package administrator

// Who may use a route. The key of a request is hashed and looked up among the
// teams of the document in force; keys are kept and logged nowhere.

import (
	"context"
	"crypto/subtle"
	"net/http"
	"slices"

	"github.com/gorilla/mux"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/authenticator"
)

// access is who may use a route.
type access string

const (
	accessAnyone   access = "anyone"
	accessReader   access = "reader"
	accessEditor   access = "editor"
	accessOperator access = "operator"
)

// Bootstrap names the holder of the bootstrap key where a team is named.
const Bootstrap redwingshunt.TeamID = "bootstrap"

// teamKey finds the authenticated team in a context.
type teamKey struct{}

// teamOf returns the authenticated team of a request.
func teamOf(r *http.Request) redwingshunt.Team {
	team, _ := r.Context().Value(teamKey{}).(redwingshunt.Team)
	return team
}

// guard lets a request through to a route if its key allows that.
func (s *server) guard(r route) http.Handler {
	return handler(func(w http.ResponseWriter, request *http.Request) error {
		if r.access == accessAnyone {
			return r.serve(w, request)
		}
		team, ok := s.authenticate(request)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			return &Problem{
				Status: http.StatusUnauthorized, Reason: ReasonUnauthorized,
				Detail: "no team has this key", Next: "give the key of a team of the document with --key",
			}
		}
		if !allowed(team, r.access, redwingshunt.Section(mux.Vars(request)["section"])) {
			return &Problem{
				Status: http.StatusForbidden, Reason: ReasonForbidden,
				Detail: "team " + string(team.Name) + " may not do this",
				Next:   "ask a team that edits the section; redwingshunt show --section teams lists them",
			}
		}
		return r.serve(w, request.WithContext(context.WithValue(request.Context(), teamKey{}, team)))
	})
}

// allowed reports whether a team has an access to a section.
func allowed(team redwingshunt.Team, need access, section redwingshunt.Section) bool {
	switch need {
	case accessReader:
		return true
	case accessOperator:
		return slices.Contains(team.Edits, redwingshunt.SectionFleet)
	case accessEditor:
		if section != "" {
			return slices.Contains(team.Edits, section)
		}
		for _, each := range redwingshunt.Sections() {
			if !slices.Contains(team.Edits, each) {
				return false
			}
		}
		return true
	}
	return false
}

// authenticate returns the team that holds the bearer key of a request.
func (s *server) authenticate(r *http.Request) (redwingshunt.Team, bool) {
	key := authenticator.BearerKey(r)
	if key == "" {
		return redwingshunt.Team{}, false
	}
	hash := authenticator.HashKey(key)
	for _, team := range s.teams() {
		if subtle.ConstantTimeCompare([]byte(team.Key), []byte(hash)) == 1 {
			return team, true
		}
	}
	return redwingshunt.Team{}, false
}

// teams returns the teams in force. Without any, the holder of the bootstrap
// key is a team that edits all.
func (s *server) teams() []redwingshunt.Team {
	if snapshot := s.parts.Configuration.Current(); snapshot != nil && len(snapshot.Document.Teams) > 0 {
		return snapshot.Document.Teams
	}
	if s.parts.Bootstrap == "" {
		return nil
	}
	return []redwingshunt.Team{{Name: Bootstrap, Key: s.parts.Bootstrap, Edits: redwingshunt.Sections()}}
}
