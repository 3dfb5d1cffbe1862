// Package budgeter divides the memory and the file descriptors of one instance among
// its callers.
//
// What callers make an instance hold is counted by stage of a request: a header while
// it is read and as long as it is in use, a body, a response that its caller has not
// read yet, and frames of links that are not complete. Each stage has a limit, so that
// one stage does not take the memory of the others, and all of them together have one.
// What would exceed a limit is refused: the caller that asks for more is the newest or
// the slowest. Connections are limited by their number for each interface.
//
// What every request holds at least is not counted here but follows from the number of
// connections: see the allowances. So a caller with a short header and body needs none
// of the budget, and is served while others use it up.
//
// A Budget needs no clock and no lock; its driver serializes the calls.
//
// # Usage
//
//	budget := budgeter.New(settings.Memory)
//	if !budget.Reserve(budgeter.Body, 64<<10) { /* refuse the request as not run */ }
//	budget.Release(budgeter.Body, 64<<10)
package budgeter

import "strconv"

// Stage is a part of a request that an instance holds.
type Stage int

// The stages.
const (
	Header   Stage = iota // read or in use
	Body                  // of a request, until it ends
	Response              // until its caller has read it
	Frame                 // of a link, until it is complete
	stages
)

// String returns the name of the stage in metrics and log lines.
func (s Stage) String() string {
	names := [stages]string{"header", "body", "response", "frame"}
	if s < 0 || s >= stages {
		return strconv.Itoa(int(s))
	}
	return names[s]
}

// Stages returns all stages.
func Stages() []Stage { return []Stage{Header, Body, Response, Frame} }

// What a connection, a request or a link may hold without a reservation, in bytes.
const (
	HeaderAllowance   = 8 << 10
	BodyAllowance     = 16 << 10
	ResponseAllowance = 16 << 10
	FrameAllowance    = 64 << 10
)

// FieldBytes is what a field of a header costs beyond its text: an entry of a map, a
// slice and two strings. Without it, a header of 16 KiB with 4,000 fields would cost
// 20 times what is counted.
const FieldBytes = 128

// The parts of the memory that callers may make an instance hold. The program, the
// connections and the allowances take about a third, and the garbage between two
// collections a quarter.
const (
	totalDivisor    = 3
	headerDivisor   = 10
	bodyDivisor     = 4
	responseDivisor = 6
	frameDivisor    = 6
)

// Budget counts what is held in each stage.
type Budget struct {
	limit   int64 // of all stages; zero is unlimited
	limits  [stages]int64
	held    int64
	byStage [stages]int64
	refused [stages]int64
}

// New returns the budget for an instance with a memory limit in bytes; zero is
// unlimited.
func New(memory int64) *Budget {
	return &Budget{
		limit: memory / totalDivisor,
		limits: [stages]int64{
			Header: memory / headerDivisor, Body: memory / bodyDivisor,
			Response: memory / responseDivisor, Frame: memory / frameDivisor,
		},
	}
}

// Reserve reserves an amount in a stage. It reserves nothing and returns false if the
// stage or all of them would exceed their limit.
func (b *Budget) Reserve(stage Stage, bytes int64) bool {
	if b.limit > 0 && (b.held+bytes > b.limit || b.byStage[stage]+bytes > b.limits[stage]) {
		b.refused[stage]++
		return false
	}
	b.held += bytes
	b.byStage[stage] += bytes
	return true
}

// Release returns an amount that was reserved.
func (b *Budget) Release(stage Stage, bytes int64) {
	b.held -= bytes
	b.byStage[stage] -= bytes
}

// Held returns the bytes reserved in a stage.
func (b *Budget) Held(stage Stage) int64 { return b.byStage[stage] }

// Refused returns the number of reservations refused in a stage since the start.
func (b *Budget) Refused(stage Stage) int64 { return b.refused[stage] }

// HeaderCost returns the cost of a part of a header with a number of lines.
func HeaderCost(bytes, lines int) int64 { return int64(bytes) + FieldBytes*int64(lines) }
