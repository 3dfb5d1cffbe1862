// Package soaker holds the fault injection soak test: a fleet of real processes on
// one machine with callers and upstreams, and faults generated from a seed.
//
// Processes are paused, killed, gracefully stopped and restarted; proxies delay,
// reset or blackhole connections to upstreams; upstreams crash and misbehave;
// routes are added meanwhile. An availability zone is evacuated, all instances of a
// region are killed, upstreams return cold, callers read slowly or break the limits.
// Faults occur in sequence and overlap. During the run and at its end, the test checks
// from the observations of callers and upstreams, and of the processes in /proc, that:
//
//   - a non-idempotent request runs at most once, and not at all if its caller was
//     told that it had not run;
//   - a successful response is complete and belongs to its request, and a stream
//     has no gap;
//   - an instance never reverts to a configuration older than one that it has
//     served, and at the end every instance serves each accepted change;
//   - a graceful shutdown aborts no request that the instance had accepted;
//   - 5 s after the acknowledgement of an evacuation, no instance that is in contact
//     sends a request of a route to an upstream of the availability zone;
//   - a cold upstream receives no more requests of routes in any one second than the
//     settings allow;
//   - no process ends by itself, or exceeds the memory or the descriptors of its
//     settings;
//   - after the faults, every instance serves requests, from every upstream.
//
// Evacuations and cold upstreams are not checked for requests on the address listen,
// where they have no effect. The test signals only processes that it has started, by their
// process IDs.
//
// # Usage
//
//	go test ./soaker                                  # one short run and all seeds that failed before
//	REDWINGSHUNT_SOAK=50 go test -timeout 2h ./soaker # this number of random seeds, printed
//	REDWINGSHUNT_SEED=7 go test -run TestSeed ./soaker
//	REDWINGSHUNT_ROUTERS=100 go test -run TestSoak ./soaker # a large fleet
package soaker
