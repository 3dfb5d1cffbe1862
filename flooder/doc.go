// Package flooder provides callers that break the limits, for its own tests and those of
// package soaker. Its tests of untrusted callers start processes of the system with low
// limits and have a crowd of callers break the rules of one interface
// in one way: headers, bodies and lines without end, requests that stop in the middle,
// responses that are not read, connections without a request.
//
// The tests check from outside what does not depend on the speed of the machine: the
// process lives, its resident memory and its open file descriptors stay within its
// settings, and an ordinary request is answered afterwards.
//
// # Usage
//
// The tests need the machine for themselves and run one at a time, apart from the other
// tests:
//
//	REDWINGSHUNT_FLOOD=1 go test -count=1 -p 1 -parallel 1 ./flooder
package flooder
