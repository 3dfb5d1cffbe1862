// Package accountant measures the cost of a request while its response is relayed.
//
// The cost of a chat completion is taken from the usage report at its end. Until
// then each streamed chunk counts as one token, so that the scheduler is charged
// progressively. Cached prompt tokens cost the percentage that the service
// configures. A request to a plain service costs one unit or its duration.
//
// # Usage
//
//	meter := accountant.NewMeter(service, func(delta redwingshunt.Cost) { scheduler.Charge(grant, delta) })
//	meter.Event(data)        // each server-sent event, or
//	meter.Body(body)         // the whole body of a response that was not streamed
//	cost := meter.Total(elapsed)
package accountant

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// chargeStepTokens is the number of streamed tokens to accumulate before they are
// charged.
const chargeStepTokens redwingshunt.Cost = 64

// Done is the data of the event that ends the stream of a chat completion.
const Done = "[DONE]"

// Meter measures one attempt. It is not safe for concurrent use.
type Meter struct {
	service  *redwingshunt.Service
	charge   func(delta redwingshunt.Cost)
	streamed redwingshunt.Cost // chunks counted so far
	charged  redwingshunt.Cost // part of streamed that was passed to charge
	reported redwingshunt.Option[redwingshunt.Cost]
	done     bool
	template template
}

// NewMeter returns a meter that calls charge with the additional cost while a
// response is streamed.
func NewMeter(service *redwingshunt.Service, charge func(delta redwingshunt.Cost)) *Meter {
	return &Meter{service: service, charge: charge}
}

// completion holds the fields of a chat completion, whole or one streamed chunk, that
// determine its cost.
type completion struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *usage `json:"usage"`
}

type usage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
	Details    struct {
		Cached int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// Event processes the data of one server-sent event.
func (m *Meter) Event(data []byte) {
	if string(data) == Done {
		m.done = true
		return
	}
	if m.template.matches(data) {
		m.streamed++
	} else {
		m.parse(data)
	}
	if m.service.Cost == redwingshunt.CostTokens && m.streamed-m.charged >= chargeStepTokens {
		m.charge(m.streamed - m.charged)
		m.charged = m.streamed
	}
}

func (m *Meter) parse(data []byte) {
	var c completion
	if json.Unmarshal(data, &c) != nil {
		return
	}
	m.report(c.Usage)
	if len(c.Choices) == 0 || c.Choices[0].Delta.Content == "" {
		return
	}
	m.streamed++
	if c.Usage == nil {
		m.template.save(data)
	}
}

// Body processes a response that was not streamed.
func (m *Meter) Body(body []byte) {
	m.done = true
	if m.service.Kind != redwingshunt.ServiceEngine || !bytes.Contains(body, []byte(`"usage"`)) {
		return
	}
	var c completion
	if json.Unmarshal(body, &c) == nil {
		m.report(c.Usage)
	}
}

func (m *Meter) report(u *usage) {
	if u == nil {
		return
	}
	cached := u.Details.Cached * int64(m.service.Cached) / 100
	m.reported = redwingshunt.Some(redwingshunt.Cost(u.Prompt - u.Details.Cached + cached + u.Completion))
}

// Done reports whether the end of the response was seen.
func (m *Meter) Done() bool { return m.done }

// Total returns the cost of the attempt, given its duration.
func (m *Meter) Total(elapsed time.Duration) redwingshunt.Cost {
	switch m.service.Cost {
	case redwingshunt.CostRequests:
		return 1
	case redwingshunt.CostTime:
		return redwingshunt.Cost(elapsed.Microseconds())
	default:
		return m.reported.Or(m.streamed)
	}
}
