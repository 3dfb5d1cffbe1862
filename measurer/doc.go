// Package measurer drives the decision cores of the fair service over small
// fakes (clocks, messages with delay, loss and repetition, upstreams, clients)
// and measures what the policy achieves.
//
// Time is simulated, so a minute of a fleet passes in seconds, and a seed gives
// the same figures on each machine, but for the processor time of a decision.
// Messages between instances are encoded, and their size counts with the
// framing of one message.
//
// # Usage
//
//	err := measurer.Run(ctx, measurer.Options{}, os.Stdout)
//
// prints the tables of docs/MEASUREMENTS.md.
package measurer
