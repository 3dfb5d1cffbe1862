package prober

import (
	"net/netip"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Event is an input of Prober.Step.
type Event interface{ isEvent() }

// Tick drives the timers of the protocol.
type Tick struct{}

// Received is a message from another instance.
type Received struct {
	From  redwingshunt.InstanceID
	Probe *wire.Probe
}

// LinkLost reports that the link to an instance was lost.
type LinkLost struct {
	Instance redwingshunt.InstanceID
}

// Leave starts a graceful shutdown of this instance.
type Leave struct{}

func (Tick) isEvent()     {}
func (Received) isEvent() {}
func (LinkLost) isEvent() {}
func (Leave) isEvent()    {}

// Action is an output of Prober.Step.
type Action interface{ isAction() }

// Send requests that a message is sent to a known instance.
type Send struct {
	To    redwingshunt.InstanceID
	Probe *wire.Probe
}

// SendAddress requests that a message is sent to a link address whose instance is
// not known yet.
type SendAddress struct {
	Address netip.AddrPort
	Probe   *wire.Probe
}

// Changed reports that the view has changed, and with it possibly the result of Live.
type Changed struct{}

func (Send) isAction()        {}
func (SendAddress) isAction() {}
func (Changed) isAction()     {}
