// Package measurer runs the scheduler cores against simple fakes (clocks,
// messages with delay, loss and repetition, upstreams, clients) and measures
// what each policy achieves.
//
// Time is simulated, so a minute of a fleet takes seconds, and a seed gives the
// same figures on every machine, except for the processor time of a decision.
// Messages between instances are encoded, and their size counts with the
// framing of one message.
//
// # Usage
//
//	err := measurer.Run(ctx, measurer.Options{}, os.Stdout)
//
// prints the tables of docs/MEASUREMENTS.md.
package measurer
