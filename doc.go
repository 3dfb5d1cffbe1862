// Package redwingshunt holds the value types and the interfaces that every
// part of the router fleet shares.
//
// A router fleet stands between client accounts and upstreams. Each daemon is
// one instance. A request passes a chain of filters, one package each, and the
// chain is put together in one place, package daemon:
//
//	listener > authenticator > classifier > limiter > claimer >
//	scheduler > balancer > dispatcher > responder > accountant
//
// Packages that decide (whom to serve next, where to send, who leads, which
// configuration is newer) take time as an argument, randomness from a seeded
// source and input as typed events. They return typed actions, start no
// goroutine, open no socket and read no clock. Package daemon is the shell that
// turns sockets, timers and disk into events and carries the actions out.
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
