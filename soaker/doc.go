// Package soaker holds the fault soak: a fleet of real processes on one machine,
// callers and upstreams around it, and faults from a seed.
//
// Processes are paused, killed, stopped as planned and started again by signals;
// connections to upstreams are delayed, reset or silenced by proxies; upstreams
// crash and misbehave; routes are added meanwhile. Faults come in series and
// overlap. While all this runs, and at the end, it is checked from what callers
// and upstreams have seen:
//
//   - a request that may run once has run once at most, and not at all when its
//     caller was told so;
//   - a successful answer is whole and that of its own request, a stream without
//     a gap;
//   - an instance never goes back behind a change of the configuration that it
//     has served by, and a change that was accepted is served by everywhere at
//     the end;
//   - a planned stop ends no request that it had taken;
//   - after the faults each instance serves.
//
// It ends only processes that it has started, by their identifiers.
//
// # Usage
//
//	go test ./soaker                                  # one short run and the seeds that ever failed
//	REDWINGSHUNT_SOAK=50 go test -timeout 2h ./soaker # that many fresh seeds, printed
//	REDWINGSHUNT_SEED=7 go test -run TestSeed ./soaker
//	REDWINGSHUNT_ROUTERS=100 go test -run TestSoak ./soaker # a large fleet
package soaker
