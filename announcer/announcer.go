// Package announcer receives the announcements of upstreams over HTTP.
//
// An upstream announces itself to any instance, renews the announcement before
// its time to live expires, reports its load with each renewal, and leaves when it
// stops:
//
//	POST   /v1/upstreams                 announce, renew, report load
//	DELETE /v1/upstreams/{service}/{id}  leave
//
// No configuration lists upstreams. An upstream serves requests that name a model
// or a service as well as requests that match a route. For routes, its ID must be
// unique in the whole fleet.
//
// # Usage
//
//	handler := announcer.New(announcer.Options{Directory: directory, Self: members.Self})
//	router.PathPrefix("/v1/upstreams").Handler(handler)
package announcer

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gorilla/mux"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/authenticator"
	"github.com/redwingshunt/redwingshunt/responder"
)

// The limits of an announcement.
const (
	maxAnnouncementBytes = 16 << 10
	minTTL               = time.Second
	maxTTL               = time.Minute
	defaultTTL           = 6 * time.Second
	maxCold              = 365 * 24 * time.Hour
)

// Announcement is the JSON body of POST /v1/upstreams.
type Announcement struct {
	ID      redwingshunt.UpstreamID `json:"id"`
	Service redwingshunt.ServiceID  `json:"service"`
	Region  redwingshunt.RegionID   `json:"region"`  // defaults to the region of the receiving instance
	Zone    redwingshunt.ZoneID     `json:"zone"`    // set to that of the receiving instance if region is empty
	Address netip.AddrPort          `json:"address"` // IP address and port
	Slots   int                     `json:"slots"`   // requests that it runs concurrently
	Version string                  `json:"version"`
	TTL     int64                   `json:"ttl"` // milliseconds until the announcement expires
	Load    Load                    `json:"load"`
	Cold    *int64                  `json:"cold"` // milliseconds for which it is cold from now on; zero if it is warm
}

// Load is the load that an upstream reports.
type Load struct {
	Running int `json:"running"` // requests in the running batch
	Waiting int `json:"waiting"` // admitted requests that are not in the batch yet
}

// Receipt is the JSON response to an announcement.
type Receipt struct {
	TTL   int64 `json:"ttl"`   // milliseconds
	Renew int64 `json:"renew"` // milliseconds until the next renewal is due
}

// Options configures the handler.
type Options struct {
	Directory     redwingshunt.Directory
	Roll          redwingshunt.Roll // upstreams of routes; may be nil
	Configuration redwingshunt.Configuration
	Self          func() redwingshunt.Instance
	Now           func() time.Time
	ColdLimited   func() // called when the time for which an upstream is cold was limited; may be nil
}

type handler struct {
	options Options
}

// New returns the HTTP handler of announcements.
func New(options Options) http.Handler {
	h := &handler{options: options}
	router := mux.NewRouter()
	router.Path("/v1/upstreams").Methods(http.MethodPost).HandlerFunc(h.announce)
	router.Path("/v1/upstreams/{service}/{id}").Methods(http.MethodDelete).HandlerFunc(h.leave)
	return router
}

func (h *handler) announce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		refuse(w, http.StatusBadRequest, "the announcement does not parse: "+err.Error())
		return
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		refuse(w, http.StatusBadRequest, "the announcement goes on after its end")
		return
	}
	if problem := h.complete(&a); problem != "" {
		refuse(w, http.StatusBadRequest, problem)
		return
	}
	upstream := redwingshunt.Upstream{
		ID: a.ID, Service: a.Service, Region: a.Region, Zone: a.Zone,
		Address: a.Address, Slots: a.Slots, Version: a.Version,
	}
	if err := (redwingshunt.UpstreamState{Upstream: upstream}).Validate(h.options.Now()); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if status, problem := h.authorize(r, a.Service); status != http.StatusOK {
		refuse(w, status, problem)
		return
	}
	ttl := time.Duration(a.TTL) * time.Millisecond
	h.options.Directory.Announce(upstream, redwingshunt.LoadReport{
		Running: a.Load.Running, Waiting: a.Load.Waiting, At: h.options.Now(),
	}, ttl)
	if h.options.Roll != nil {
		state := redwingshunt.UpstreamState{Upstream: upstream, TTL: ttl}
		h.setCold(&state, a.Cold)
		h.options.Roll.Enroll(state)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Receipt{TTL: a.TTL, Renew: a.TTL / 3})
}

func (h *handler) leave(w http.ResponseWriter, r *http.Request) {
	service := redwingshunt.ServiceID(mux.Vars(r)["service"])
	if status, problem := h.authorize(r, service); status != http.StatusOK {
		refuse(w, status, problem)
		return
	}
	id := redwingshunt.UpstreamID(mux.Vars(r)["id"])
	h.options.Directory.Leave(redwingshunt.UpstreamKey{Service: service, ID: id})
	if h.options.Roll != nil {
		h.options.Roll.Dismiss(id, time.Time{})
	}
	w.WriteHeader(http.StatusNoContent)
}

// complete sets defaults for omitted fields and validates the announcement. It
// returns a description of the first fault, or "".
func (h *handler) complete(a *Announcement) string {
	self := h.options.Self()
	if a.Region == "" {
		a.Region, a.Zone = self.Region, self.Zone
	}
	if a.TTL == 0 {
		a.TTL = defaultTTL.Milliseconds()
	}
	switch {
	case a.TTL < minTTL.Milliseconds() || a.TTL > maxTTL.Milliseconds():
		return "ttl is from 1000 to 60000 milliseconds"
	case a.Load.Running < 0 || a.Load.Waiting < 0:
		return "load is not negative"
	case a.Cold != nil && (*a.Cold < 0 || *a.Cold > maxCold.Milliseconds()):
		return "cold is from 0 to 31536000000 milliseconds"
	}
	return ""
}

// authorize checks that the service exists and, if the document sets a key for it,
// that the request carries this key. It returns the HTTP status and, unless that is
// http.StatusOK, the reason.
func (h *handler) authorize(r *http.Request, name redwingshunt.ServiceID) (int, string) {
	snapshot := h.options.Configuration.Current()
	if snapshot == nil {
		return http.StatusServiceUnavailable, "this instance has no configuration yet"
	}
	for _, service := range snapshot.Document.Services {
		if service.Name != name {
			continue
		}
		if service.Key != "" && authenticator.HashKey(authenticator.BearerKey(r)) != service.Key {
			return http.StatusUnauthorized, "send the key of the service as Authorization: Bearer KEY"
		}
		return http.StatusOK, ""
	}
	return http.StatusNotFound, "the document has no service " + string(name)
}

// setCold sets until when an upstream is cold, which has a meaning only for a service that
// limits cold upstreams.
func (h *handler) setCold(state *redwingshunt.UpstreamState, cold *int64) {
	state.ColdUnknown = true
	for _, service := range h.options.Configuration.Current().Document.Services {
		if service.Name != state.Service || service.Ramp == 0 || cold == nil {
			continue
		}
		remaining, limited := service.LimitCold(time.Duration(*cold) * time.Millisecond)
		if limited && h.options.ColdLimited != nil {
			h.options.ColdLimited()
		}
		state.ColdUnknown = false
		if remaining > 0 {
			state.Cold = h.options.Now().Add(remaining)
		}
	}
}

func refuse(w http.ResponseWriter, status int, problem string) {
	responder.Write(w, redwingshunt.NotRun(redwingshunt.ReasonInvalidRequest, status, problem), "")
}
