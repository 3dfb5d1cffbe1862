package commander

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/mimic"
)

// VerbMimicSetup describes the verb mimic.
var VerbMimicSetup = VerbSetup{
	Name:    "mimic",
	Summary: "runs a stand-in upstream that announces itself, for trials",
	Options: &VerbMimicOptions{},
	Parse:   parseVerbMimic,
	Usage: `Usage: redwingshunt mimic --service NAME --announce ADDRESS [OPTION]...
Runs a stand-in upstream until it is interrupted: it answers chat completions
with made-up tokens and any other request with what it received, and announces
itself to an instance as a real upstream does.

Options:
  --service NAME      service that it offers, as in the document
  --announce ADDRESS  IP number and port where an instance listens for callers
  --id NAME           name of the upstream, mimic unless given
  --listen ADDRESS    IP number and port of its own, 127.0.0.1:0 unless given
  --slots N           requests that it runs at once, 8 unless given
  --first DURATION    time to the first token, 50ms unless given
  --token DURATION    time between tokens, 20ms unless given
  --key KEY           key of the service, where the document gives one, @FILE to
                      read it
  --authority FILE    PEM file that the instance's certificate is signed by;
                      otherwise $REDWINGSHUNT_AUTHORITY; without either it announces
                      itself in plain text

Example:
  redwingshunt mimic --service assistant --announce 127.0.0.1:8080 --id gpu-1
`,
}

// VerbMimicOptions are the options of mimic.
type VerbMimicOptions struct {
	Service  string        `long:"service"`
	Announce string        `long:"announce"`
	ID       string        `long:"id" default:"mimic"`
	Listen   string        `long:"listen" default:"127.0.0.1:0"`
	Slots    int           `long:"slots" default:"8"`
	First    time.Duration `long:"first" default:"50ms"`
	Token    time.Duration `long:"token" default:"20ms"`

	Key       string `long:"key"`
	Authority string `long:"authority"`
}

// VerbMimic runs a stand-in upstream.
type VerbMimic struct {
	options VerbMimicOptions
}

func parseVerbMimic(_ *Console, arguments []string) (Verb, error) {
	v := &VerbMimic{}
	if _, err := parseArguments("mimic", &v.options, arguments, 0, 0); err != nil {
		return nil, err
	}
	if v.options.Service == "" || v.options.Announce == "" {
		return nil, usageFault("mimic", "give --service and --announce")
	}
	if _, err := netip.ParseAddrPort(v.options.Announce); err != nil {
		return nil, usageFault("mimic", "--announce %q is no IP number and port", v.options.Announce)
	}
	if v.options.Slots < 1 {
		return nil, usageFault("mimic", "--slots is at least 1")
	}
	return v, nil
}

// Run serves until the context is canceled, then announces that it leaves and
// stops.
func (v *VerbMimic) Run(ctx context.Context, console *Console) error {
	config, err := ConnectOptions{Authority: v.options.Authority}.readAuthority(console)
	if err != nil {
		return err
	}
	key, err := ConnectOptions{Key: v.options.Key}.readKey(&Console{Getenv: func(string) string { return "" }})
	if err != nil {
		return err
	}
	upstream := mimic.New(mimic.Options{
		TLS: config, Key: key, Failed: func(err error) { console.Progress("not announced: %v", err) },
		ID: redwingshunt.UpstreamID(v.options.ID), Service: redwingshunt.ServiceID(v.options.Service),
		Slots: v.options.Slots, First: v.options.First, Token: v.options.Token,
	})
	address, err := upstream.Start(v.options.Listen)
	if err != nil {
		return &Fault{Code: ExitFailed, Text: err.Error(), Next: "choose another --listen"}
	}
	fmt.Fprintf(console.Out, "%s of %s on %s\n", v.options.ID, v.options.Service, address)
	upstream.Announce(v.options.Announce)
	<-ctx.Done()
	upstream.Leave(v.options.Announce)
	upstream.Stop()
	upstream.Wait()
	return nil
}
