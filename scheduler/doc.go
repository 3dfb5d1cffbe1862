// Package scheduler decides whose request runs next and on which upstream.
//
// Each service has one owner in each region. Routers keep their requests in a
// Queue, one queue a client account, and tell the owner how many wait. The
// Owner knows the upstreams of its region and the service that each account has
// received over the whole fleet. When a slot is free, it grants it to the
// account with the least virtual time, to the router whose request has waited
// longest. The router binds the grant to the head of that account's queue when
// it arrives, or gives it back.
//
// Virtual time is service received over share (package exchanger). The order of
// the accounts is by virtual time and a reservation for each running request:
// what its slot gives over a horizon that is the same for all accounts and about
// as long as the longest requests run. So a slot counts as soon as it is taken,
// equal virtual times mean equal numbers of slots whatever the length of the
// requests, and a lagging account is not given more slots than it can return.
//
// Owners of one service exchange ledgers. Work moves between regions on loans:
// an owner lends slots of its upstreams to another one that asks, either when
// it has no work for them or when the borrower's accounts lag by more than the
// allowed gap. The borrower uses a loan for one request after the other, so no
// message crosses regions for a single request.
//
// All messages carry absolute state, so they may be lost, repeated or
// reordered. The state of a router lists the grants that it holds; the owner
// takes back what is not listed.
//
// # Usage
//
//	owner := scheduler.NewOwner(scheduler.OwnerOptions{Self: self, Service: "chat"})
//	owner.Step(now, scheduler.Elected{Term: 1})
//	for _, action := range owner.Step(now, scheduler.Reported{From: router, State: state}) {
//		switch action := action.(type) {
//		case scheduler.SendGrants: // to the router
//		case scheduler.SendLedger: // to another owner
//		}
//	}
//
// The router side is driven alike, see Queue.
package scheduler
