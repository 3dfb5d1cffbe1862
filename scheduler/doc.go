// Package scheduler decides which request runs next and on which upstream.
//
// Each service has one owner in each region. Routers keep their requests in a
// Queue, with one queue per client account, and report the queue lengths to the
// owner. The Owner knows the upstreams of its region and the service that each
// account has received across the fleet. It grants a free slot to the account
// with the lowest virtual time, on the router whose request has waited longest.
// The router binds the grant to the head of that account's queue when it
// arrives, or returns it.
//
// Virtual time is service received divided by share (package exchanger).
// Accounts are ordered by virtual time plus a reservation for each running
// request: the service that its slot gives over a horizon. The horizon is the
// same for all accounts and about as long as the longest requests run. A slot
// therefore counts as soon as it is taken, equal virtual times mean equal numbers
// of slots whatever the length of the requests, and a lagging account is not
// given more slots than it can return.
//
// Owners of one service exchange ledgers. Slots move between regions as loans:
// an owner lends slots of its upstreams to another owner that asks for them,
// either when it has no work for them or when the borrower's accounts lag by
// more than the allowed gap. The borrower uses a loan for successive requests,
// so a single request needs no message between regions.
//
// All messages carry absolute state, so they may be lost, repeated or
// reordered. The state of a router lists the grants that it holds; the owner
// reclaims grants that are not listed.
//
// # Usage
//
//	owner := scheduler.NewOwner(scheduler.OwnerOptions{Self: self, Service: "chat"})
//	owner.Step(now, scheduler.Elected{Term: 1})
//	for _, action := range owner.Step(now, scheduler.StateReceived{From: router, State: state}) {
//		switch action := action.(type) {
//		case scheduler.SendGrants: // to the router
//		case scheduler.SendLedger: // to another owner
//		}
//	}
//
// The router side is driven in the same way; see Queue.
package scheduler
