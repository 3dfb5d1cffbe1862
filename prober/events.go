package prober

import (
	"net/netip"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Event is an input of Prober.Step.
type Event interface{ isEvent() }

// Tick says that time has passed.
type Tick struct{}

// Received brings a message of another instance.
type Received struct {
	From  redwingshunt.InstanceID
	Probe *wire.Probe
}

// LinkLost says that the link to an instance broke.
type LinkLost struct {
	Instance redwingshunt.InstanceID
}

// Leave begins a graceful shutdown of this instance.
type Leave struct{}

func (Tick) isEvent()     {}
func (Received) isEvent() {}
func (LinkLost) isEvent() {}
func (Leave) isEvent()    {}

// Action is an output of Prober.Step.
type Action interface{ isAction() }

// Send asks for a message to a known instance.
type Send struct {
	To    redwingshunt.InstanceID
	Probe *wire.Probe
}

// SendAddress asks for a message to a link address of which the instance is
// not known yet.
type SendAddress struct {
	Address netip.AddrPort
	Probe   *wire.Probe
}

// Changed says that Live returns something else than before.
type Changed struct{}

func (Send) isAction()        {}
func (SendAddress) isAction() {}
func (Changed) isAction()     {}
