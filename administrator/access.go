package administrator

// Authentication and authorization. The bearer key of a request is hashed and
// compared with the key hashes of the teams of the document in force. Keys are
// neither stored nor logged.

import (
	"context"
	"crypto/subtle"
	"net/http"
	"slices"

	"github.com/gorilla/mux"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/authenticator"
)

// access is the permission that a route requires.
type access string

const (
	accessAnyone   access = "anyone"
	accessReader   access = "reader"
	accessEditor   access = "editor"
	accessOperator access = "operator"
)

// Bootstrap is the team name of a caller that uses the bootstrap key.
const Bootstrap redwingshunt.TeamID = "bootstrap"

// teamContextKey is the context key of the authenticated team.
type teamContextKey struct{}

// teamOf returns the authenticated team of a request.
func teamOf(r *http.Request) redwingshunt.Team {
	team, _ := r.Context().Value(teamContextKey{}).(redwingshunt.Team)
	return team
}

// authorize returns the handler of a route that first checks whether the key of
// the request permits the access.
func (s *server) authorize(r route) http.Handler {
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
		return r.serve(w, request.WithContext(context.WithValue(request.Context(), teamContextKey{}, team)))
	})
}

// allowed reports whether a team has the required access to a section. An empty
// section stands for the whole document.
func allowed(team redwingshunt.Team, required access, section redwingshunt.Section) bool {
	switch required {
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

// teams returns the teams of the document in force. If there are none, it returns
// one team that holds the bootstrap key and may edit all sections.
func (s *server) teams() []redwingshunt.Team {
	if snapshot := s.parts.Configuration.Current(); snapshot != nil && len(snapshot.Document.Teams) > 0 {
		return snapshot.Document.Teams
	}
	if s.parts.Bootstrap == "" {
		return nil
	}
	return []redwingshunt.Team{{Name: Bootstrap, Key: s.parts.Bootstrap, Edits: redwingshunt.Sections()}}
}
