package guarantor

import (
	"context"
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/claimer"
	"github.com/redwingshunt/redwingshunt/wire"
)

// keep stores an answer and returns the command that finishes its claim. The claim
// becomes answered even when the answer is too large to keep, and interrupted when
// there is no answer.
func (g *Guarantor) keep(ctx context.Context, key claimer.Key, a *redwingshunt.Answer) *wire.ClaimFinish {
	if a == nil {
		return &wire.ClaimFinish{Interrupted: true}
	}
	encoded, err := proto.Marshal(encode(a))
	if err != nil || len(encoded) > claimer.KeptLimitBytes {
		return &wire.ClaimFinish{}
	}
	if len(encoded) <= claimer.InlineLimitBytes {
		return &wire.ClaimFinish{Answer: encoded}
	}
	f := &wire.ClaimFinish{Digest: claimer.DigestOf(encoded)}
	for _, id := range g.keeper.Store(ctx, key, f.Digest, encoded, g.retention()) {
		f.Keepers = append(f.Keepers, string(id))
	}
	return f
}

// retention returns how long an answer is kept outside the log.
func (g *Guarantor) retention() time.Duration {
	snapshot := g.config.Current()
	if snapshot == nil {
		return claimer.Tolerance
	}
	return snapshot.Document.Fleet.Keep + claimer.Tolerance
}

// answer returns the kept answer, or nil when it is not available.
func (g *Guarantor) answer(ctx context.Context, key claimer.Key, reply *wire.ClaimReply) *redwingshunt.Answer {
	encoded := reply.Answer
	if len(encoded) == 0 && len(reply.Keepers) > 0 {
		holders := make([]redwingshunt.InstanceID, len(reply.Keepers))
		for i, id := range reply.Keepers {
			holders[i] = redwingshunt.InstanceID(id)
		}
		encoded, _ = g.keeper.Fetch(ctx, key, reply.Digest, holders)
	}
	a := &wire.KeptAnswer{}
	if len(encoded) == 0 || proto.Unmarshal(encoded, a) != nil {
		return nil
	}
	return decode(a)
}

// encode returns an answer in the form that is kept, with the header fields sorted
// by name.
func encode(a *redwingshunt.Answer) *wire.KeptAnswer {
	k := &wire.KeptAnswer{Status: uint32(a.Status), Body: a.Body}
	names := make([]string, 0, len(a.Header))
	for name := range a.Header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, value := range a.Header[name] {
			k.Fields = append(k.Fields, &wire.KeptField{Name: name, Value: []byte(value)})
		}
	}
	return k
}

// decode returns the answer for its kept form.
func decode(k *wire.KeptAnswer) *redwingshunt.Answer {
	a := &redwingshunt.Answer{Status: int(k.Status), Header: make(http.Header), Body: k.Body}
	for _, f := range k.Fields {
		a.Header.Add(f.Name, string(f.Value))
	}
	return a
}
