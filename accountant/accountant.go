// Package accountant measures what a request costs while its answer passes.
//
// The cost of a chat completion is read from the usage report at its end; until
// then each streamed piece counts as one token, so that the scheduler is told
// progressively. Cached prompt tokens cost the percentage that the service
// states. A plain service costs one a request, or its time.
//
// # Usage
//
//	meter := accountant.NewMeter(service, func(delta redwingshunt.Cost) { scheduler.Charge(grant, delta) })
//	meter.Event(data)        // each server-sent event, or
//	meter.Body(body)         // the whole body of an answer that was not streamed
//	cost := meter.Total(elapsed)
package accountant

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// chargeStep is how much streamed service is gathered before it is charged.
const chargeStep redwingshunt.Cost = 64 // tokens

// Done is the data of the event that ends a stream of chat completions.
const Done = "[DONE]"

// Meter measures one attempt. It is not safe for concurrent use.
type Meter struct {
	service  *redwingshunt.Service
	charge   func(delta redwingshunt.Cost)
	streamed redwingshunt.Cost // pieces that passed
	charged  redwingshunt.Cost // told through charge
	reported redwingshunt.Option[redwingshunt.Cost]
	done     bool
	template template
}

// NewMeter returns a meter that tells charge about service as it is received.
func NewMeter(service *redwingshunt.Service, charge func(delta redwingshunt.Cost)) *Meter {
	return &Meter{service: service, charge: charge}
}

// chunk holds the fields of a chat completion, whole or streamed, that cost is
// read from.
type chunk struct {
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

// Event reads the data of one server-sent event.
func (m *Meter) Event(data []byte) {
	if string(data) == Done {
		m.done = true
		return
	}
	if m.template.fits(data) {
		m.streamed++
	} else {
		m.parse(data)
	}
	if m.service.Cost == redwingshunt.CostTokens && m.streamed-m.charged >= chargeStep {
		m.charge(m.streamed - m.charged)
		m.charged = m.streamed
	}
}

func (m *Meter) parse(data []byte) {
	var c chunk
	if json.Unmarshal(data, &c) != nil {
		return
	}
	m.report(c.Usage)
	if len(c.Choices) == 0 || c.Choices[0].Delta.Content == "" {
		return
	}
	m.streamed++
	if c.Usage == nil {
		m.template.keep(data)
	}
}

// Body reads an answer that was not streamed.
func (m *Meter) Body(body []byte) {
	m.done = true
	if m.service.Kind != redwingshunt.ServiceEngine || !bytes.Contains(body, []byte(`"usage"`)) {
		return
	}
	var c chunk
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

// Done reports whether the end of the answer was seen.
func (m *Meter) Done() bool { return m.done }

// Total returns the cost of the attempt that took the given time.
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
