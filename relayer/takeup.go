package relayer

// Streams that callers take up again after a broken connection.

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/matcher"
)

// maxRequestIDBytes bounds in bytes the ID of a request that a caller names.
const maxRequestIDBytes = 128

// takeUpSlack is how long after its deadline a stream may still be taken up.
const takeUpSlack = 5 * time.Second

// resumes returns the ID of the request that began the stream which this one takes
// up, or an empty string if it names none or one that cannot be.
func (x *exchange) resumes() string {
	values := x.request.Header.Values(x.relayer.options.Dialect.Resumes)
	if len(values) != 1 || len(values[0]) > maxRequestIDBytes || values[0] == x.id {
		return ""
	}
	notVisible := func(r rune) bool { return r <= ' ' || r > '~' }
	if strings.ContainsFunc(values[0], notVisible) {
		return ""
	}
	return values[0]
}

// streamKey returns the key of the stream that the request begins, or takes up and
// names.
func (x *exchange) streamKey() redwingshunt.StreamKey {
	return redwingshunt.NewStreamKey(x.account, cmp.Or(x.resumes(), x.id))
}

// isPinned reports whether the streams of the route go on at the version that began
// them only.
func (x *exchange) isPinned() bool {
	return x.relayer.options.Origins != nil && x.route.Kind == redwingshunt.RouteStream && x.route.Resumable
}

// chooseService chooses the service of the request, and for a stream that is taken up
// the software version that began it.
func (x *exchange) chooseService(ctx context.Context, random uint64) error {
	x.service = matcher.Pick(x.route, random)
	if !x.isPinned() {
		return nil
	}
	key := x.streamKey()
	// A take-up whose stream has no record goes to the service at which it began.
	x.service = matcher.Pick(x.route, key.Hash())
	named := redwingshunt.None[redwingshunt.StreamKey]()
	if x.resumes() != "" {
		named = redwingshunt.Some(key)
	}
	resumesAfterEvent := x.request.Header.Get(redwingshunt.HeaderLastEvent) != ""
	if _, ok := named.Get(); !ok && !resumesAfterEvent {
		return nil
	}
	origin, err := x.relayer.options.Origins.Find(ctx, named, x.service)
	if err != nil {
		if !resumesAfterEvent {
			return nil // it begins anew
		}
		return err
	}
	if !slices.ContainsFunc(x.route.Targets, func(t redwingshunt.Target) bool { return t.Service == origin.Service }) {
		return redwingshunt.NotRun(redwingshunt.ReasonNoUpstream, http.StatusServiceUnavailable,
			"the route does not lead any more to the service that began the stream")
	}
	x.service, x.version, x.takesUp = origin.Service, redwingshunt.Some(origin.Version), true
	return nil
}

// pinVersion notes the version of the upstream that begins the stream. A standby of
// another version cannot continue it.
func (x *exchange) pinVersion(version string) {
	if x.started {
		return
	}
	x.version = redwingshunt.Some(version)
	if x.standby != nil && x.standby.placed.Upstream.Version != version {
		x.dropStandby("the stream began at another version")
	}
}

// recordOrigin makes known where the stream begins, before its first event is sent. After
// an error no event may be sent, now or by another attempt: holders may have the record.
func (x *exchange) recordOrigin(ctx context.Context) error {
	if x.started || x.takesUp || !x.isPinned() {
		return nil
	}
	version, _ := x.version.Get()
	origin := redwingshunt.Origin{Service: x.service, Version: version}
	return x.relayer.options.Origins.Begin(ctx, x.streamKey(), origin, x.patience.Add(takeUpSlack))
}
