// Package redwingshunt defines the value types and interfaces that all packages
// of the router share.
//
// A fleet of routers forwards requests of client accounts to upstreams. Each
// daemon is one instance. A request passes through a chain of filters, one
// package each; package daemon builds the chain:
//
//	listener > authenticator > classifier > limiter > claimer >
//	scheduler > balancer > dispatcher > responder > accountant
//
// Packages that make decisions (which request to serve next, which upstream to
// use, which voter leads, which configuration is newer) are deterministic: they
// take the time as an argument, randomness from a seeded source and input as
// typed events. They return typed actions, start no goroutines, open no sockets
// and read no clock. Package daemon turns sockets, timers and disk I/O into
// events and executes the actions.
//
// # Usage
//
// A filter depends on the interfaces of this package, never on another
// filter's implementation:
//
//	grant, err := scheduler.Acquire(ctx, request)
//	if err != nil {
//		return err // carries an Outcome, see OutcomeOf
//	}
//	defer scheduler.Release(grant, usage)
package redwingshunt
