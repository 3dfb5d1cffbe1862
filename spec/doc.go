// Package spec holds the specification of the replicated log, of the claims that
// build on it and of the version at which a stream goes on, in Promela, and checks
// it exhaustively at small size.
//
// There are five models. log.pml is election, commit, membership change and
// loss of a disk; prevote.pml is the pre-vote and the quorum check of a leader;
// claim.pml is the claim of a non-idempotent request; form.pml is the making of
// the first membership; stream.pml is the version at which a stream goes on. Each
// names its bounds as macros. Macros named MUTATE_* take one rule away; a check of
// the specification without that rule has to fail, which shows that the rule is
// needed and that the check is able to fail.
//
// docs/design/0004-specification.md maps each rule to the function that
// implements it.
//
// # Usage
//
// The check needs spin and a C compiler and prints the states of each model:
//
//	go test -v ./spec
package spec
