package registrar_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/claimer"
	"github.com/redwingshunt/redwingshunt/merger"
	"github.com/redwingshunt/redwingshunt/parser"
	"github.com/redwingshunt/redwingshunt/registrar"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	key1 = "sha256:1111111111111111111111111111111111111111111111111111111111111111"
	key2 = "sha256:2222222222222222222222222222222222222222222222222222222222222222"
	key3 = "sha256:3333333333333333333333333333333333333333333333333333333333333333"
)

// start is a document of two teams; billing may edit the accounts only.
const start = `# who may edit what
teams:
  - {name: platform, key: ` + key1 + `, edits: [teams, regions, services, accounts, once, fleet]}
  - {name: billing, key: ` + key2 + `, edits: [accounts]}
regions:
  - {name: north, zones: [north-a]}
services:
  - {name: desk, kind: plain}
# the accounts
accounts:
  - {name: alpha, share: 1, home: north, key: ` + key3 + `}
`

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func init() { _ = flag.Set("rapid.seed", "7") }

// bench is a registrar and the next time.
type bench struct {
	*registrar.Registrar
	now   time.Time
	index uint64
}

func fresh() *bench {
	return &bench{
		Registrar: registrar.New(registrar.Options{Document: parser.Document, Section: parser.Section, Change: claimer.Moves}),
		now:       epoch,
	}
}

// started returns a registrar with the document start at revision 1.
func started(t testing.TB) *bench {
	b := fresh()
	r := b.submit(t, redwingshunt.Submission{ID: "first", Team: registrar.Bootstrap, Text: []byte(start)}, "")
	if !r.Accepted {
		t.Fatal(r)
	}
	return b
}

func (b *bench) apply(t testing.TB, command []byte, err error) (*wire.RegistrarReply, error) {
	if err != nil {
		t.Fatal(err)
	}
	b.index++
	return registrar.Reply(b.Apply(b.index, command))
}

func (b *bench) submit(t testing.TB, s redwingshunt.Submission, key redwingshunt.KeyHash) redwingshunt.Receipt {
	b.now = b.now.Add(time.Second)
	command, err := registrar.Submit(b.now, s, key, nil)
	reply, err := b.apply(t, command, err)
	if err != nil {
		t.Fatal(err)
	}
	return registrar.Receipt(reply.GetReceipt())
}

func (b *bench) text(t testing.TB, section redwingshunt.Section, revision redwingshunt.Revision) string {
	command, err := registrar.Text(b.now, section, revision)
	reply, err := b.apply(t, command, err)
	if err != nil {
		return err.Error()
	}
	return string(reply.GetText())
}

// restart replaces the registrar by one that is restored from its snapshot.
func (b *bench) restart(t testing.TB) {
	snapshot, err := b.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	next := fresh()
	if err := next.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	b.Registrar = next.Registrar
}

func accounts(share int) []byte {
	return fmt.Appendf(nil, "accounts: # share %d\n  - {name: alpha, share: %d, home: north, key: %s}\n", share, share, key3)
}

// change is a submission of the accounts by team billing.
func change(id string, base redwingshunt.Revision, share int) redwingshunt.Submission {
	return redwingshunt.Submission{ID: id, Team: "billing", Section: redwingshunt.SectionAccounts, Base: base, Text: accounts(share)}
}

func TestEqualBases(t *testing.T) {
	is := is.New(t)
	b := started(t)
	won := b.submit(t, change("a", 1, 2), key2)
	lost := b.submit(t, change("b", 1, 3), key2)
	is.True(won.Accepted)
	is.Equal(won.Revision, redwingshunt.Revision(2))
	is.True(!lost.Accepted)
	is.True(strings.Contains(lost.Conflict, "submission a")) // says what changed
	is.Equal(b.State().Document.Accounts[0].Share, redwingshunt.Share(2))

	other := b.submit(t, redwingshunt.Submission{
		ID: "c", Team: "platform", Section: redwingshunt.SectionFleet, Base: 0, Text: []byte("fleet: {gap: 2s}\n"),
	}, key1)
	is.True(other.Accepted) // another section does not conflict
	again := b.submit(t, change("d", 2, 3), key2)
	is.True(again.Accepted) // its base is still the newest of its section
	is.Equal(again.Revision, redwingshunt.Revision(4))
}

func TestResend(t *testing.T) {
	is := is.New(t)
	b := started(t)
	first := b.submit(t, change("a", 1, 2), key2)
	refused := b.submit(t, change("b", 1, 3), key2)
	b.submit(t, change("c", 2, 4), key2)
	b.restart(t)
	b.now = b.now.Add(3 * 24 * time.Hour)

	again := b.submit(t, change("a", 1, 2), key2)
	is.True(again.Repeated)
	again.Repeated = false
	is.Equal(again, first)
	again = b.submit(t, change("b", 1, 3), key2)
	is.True(again.Repeated)
	is.Equal(again.Conflict, refused.Conflict)
	is.Equal(b.State().Revision, redwingshunt.Revision(3)) // nothing was executed twice

	other := b.submit(t, change("a", 1, 9), key2) // the ID of another submission
	is.True(!other.Accepted && len(other.Findings) == 1)
}

func TestAnswersExpire(t *testing.T) {
	is := is.New(t)
	b := started(t)
	b.submit(t, change("a", 1, 2), key2)
	b.now = b.now.Add(100 * 365 * 24 * time.Hour) // the clock of one proposer is far ahead
	b.submit(t, change("b", 2, 3), key2)
	is.True(b.submit(t, change("a", 1, 2), key2).Repeated)
	b.now = epoch
	for i := range 24*7 + 2 {
		b.now = b.now.Add(time.Hour)
		b.submit(t, change(fmt.Sprint("n", i), 0, 2), key2)
	}
	late := b.submit(t, change("a", 1, 2), key2) // forgotten, and still not executed again
	is.True(!late.Repeated && !late.Accepted && late.Conflict != "")
}

func TestRefusals(t *testing.T) {
	teams := func(edits string) string {
		return "teams:\n  - {name: platform, key: " + key1 + ", edits: [" + edits + "]}\n"
	}
	_, withoutTeams, _ := strings.Cut(start, "accounts]}\n")
	tests := map[string]struct {
		team    redwingshunt.TeamID
		key     redwingshunt.KeyHash
		section redwingshunt.Section
		text    string
		want    string
	}{
		"section of another team":  {"billing", key2, "services", "services:\n  - {name: desk, kind: plain}\n", "may not edit"},
		"whole with foreign part":  {"billing", key2, "", strings.Replace(start, "kind: plain", "kind: engine", 1), "may not edit"},
		"unknown team":             {"sales", key2, "accounts", string(accounts(2)), "no team"},
		"bootstrap later":          {"bootstrap", "", "accounts", string(accounts(2)), "no team"},
		"replaced key":             {"billing", key1, "accounts", string(accounts(2)), "has changed"},
		"nobody may edit teams":    {"platform", key1, "teams", teams("accounts"), "no team"},
		"no team left":             {"platform", key1, "", withoutTeams, "no team"},
		"reference across":         {"platform", key1, "regions", "regions:\n  - {name: south, zones: [south-a]}\n", "north"},
		"end mark after a section": {"billing", key2, "accounts", string(accounts(2)) + "...\n", "mark"},
		"another section within":   {"billing", key2, "accounts", string(accounts(2)) + teams("teams"), "teams"},
		"whole in flow style":      {"platform", key1, "", "{regions: [{name: north, zones: [a]}], teams: [" + strings.Join(strings.Split(start, "\n  - ")[1:2], "") + "], services: [{name: desk, kind: plain}], accounts: [{name: alpha, share: 1, home: north, key: \"" + key3 + "\"}]}\n", "beginning of a line"},
		"groups of claims":         {"platform", key1, "", start + "fleet: {groups: 7}\n", "groups"},
		"foreign part hidden":      {"billing", key2, "", start + "\"once\":\n  - {service: desk, path: /x}\n", "beginning of a line"},
		"quoted key":               {"platform", key1, "", strings.Replace(start, "regions:", `"regions":`, 1), "beginning of a line"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := started(t)
			base := redwingshunt.Revision(1)
			r := b.submit(t, redwingshunt.Submission{ID: "x", Team: test.team, Section: test.section, Base: base, Text: []byte(test.text)}, test.key)
			is.True(!r.Accepted)
			if !strings.Contains(r.Findings.Error(), test.want) {
				t.Fatal(r)
			}
			is.Equal(b.State().Revision, base)
		})
	}
}

func TestExamplesAreAccepted(t *testing.T) {
	for _, name := range []string{"three", "saddlery", "tuition"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile("../examples/" + name + ".yaml")
			is.NoErr(err)
			b := fresh()
			dry := b.submit(t, redwingshunt.Submission{ID: "x", Team: registrar.Bootstrap, Text: text, DryRun: true}, "")
			is.Equal(dry, redwingshunt.Receipt{Revision: 1})
			is.Equal(b.State().Revision, redwingshunt.Revision(0))
			is.True(b.submit(t, redwingshunt.Submission{ID: "x", Team: registrar.Bootstrap, Text: text}, "").Accepted)
			is.Equal(string(merger.Join(b.State().Parts)), string(text)) // comments are kept
		})
	}
}

func TestFence(t *testing.T) {
	is := is.New(t)
	b := fresh()
	take := func(holder string) *wire.FenceReply {
		command, err := registrar.Fence(b.now, "orders", holder, 10*time.Second)
		reply, err := b.apply(t, command, err)
		is.NoErr(err)
		return reply.GetFence()
	}
	is.Equal(take("a").GetNumber(), uint64(1))
	is.True(!take("b").GetGranted()) // held
	b.now = b.now.Add(5 * time.Second)
	is.Equal(take("a").GetNumber(), uint64(1)) // renewed
	b.restart(t)
	b.now = b.now.Add(9 * time.Second)
	is.True(!take("b").GetGranted())
	b.now = b.now.Add(2 * time.Second)
	is.Equal(take("b").GetNumber(), uint64(2))
}

// TestRetention submits more changes than are kept, with a parser that takes all.
func TestRetention(t *testing.T) {
	is := is.New(t)
	b := fresh()
	document := &redwingshunt.Document{Teams: []redwingshunt.Team{{Name: "billing", Key: key2, Edits: redwingshunt.Sections()}}}
	b.Registrar = registrar.New(registrar.Options{
		Document: func(string, []byte) (*redwingshunt.Document, redwingshunt.Findings) { return document, nil },
		Section: func(string, redwingshunt.Section, []byte, *redwingshunt.Document) (*redwingshunt.Document, redwingshunt.Findings) {
			return document, nil
		},
	})
	first := b.submit(t, redwingshunt.Submission{ID: "0", Team: registrar.Bootstrap, Section: redwingshunt.SectionAccounts, Text: accounts(0)}, "")
	is.True(first.Accepted)
	const extra = 10
	for n := 1; n < registrar.MaxChanges+extra; n++ {
		is.True(b.submit(t, change(fmt.Sprint(n), redwingshunt.Revision(n), n), key2).Accepted)
	}
	is.Equal(b.text(t, redwingshunt.SectionAccounts, extra), string(accounts(extra-1)))
	is.True(strings.Contains(b.text(t, redwingshunt.SectionAccounts, extra-1), "not kept"))
	is.True(b.submit(t, change(fmt.Sprint(extra), extra, extra), key2).Repeated)
	forgotten := b.submit(t, change(fmt.Sprint(extra-1), extra-1, extra-1), key2)
	is.True(!forgotten.Repeated && forgotten.Conflict != "")

	document.Teams[0].Edits = []redwingshunt.Section{redwingshunt.SectionAccounts}
	newest := redwingshunt.Revision(registrar.MaxChanges + extra)
	locked := b.submit(t, change("lock", newest, 1), key2)
	is.True(strings.Contains(locked.Findings.Error(), "no team would be left"))
}

// TestModel compares random commands, restarts among them, with a plain model.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := fresh()
		var none testing.T
		if !b.submit(&none, redwingshunt.Submission{ID: "first", Team: registrar.Bootstrap, Text: []byte(start)}, "").Accepted {
			t.Fatal("the first document was refused")
		}
		texts := map[redwingshunt.Revision]string{1: string(merger.Find(b.State().Parts, "accounts").Text)}
		answers := map[string]redwingshunt.Receipt{}
		newest := redwingshunt.Revision(1)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			id := fmt.Sprint(rapid.IntRange(0, 15).Draw(t, "id"))
			base := newest - redwingshunt.Revision(rapid.IntRange(0, 1).Draw(t, "behind"))
			s := change(id, base, rapid.IntRange(1, 5).Draw(t, "share"))
			first, known := answers[id]
			r := b.submit(&none, s, key2)
			switch {
			case known && r.Repeated:
				r.Repeated = false
				if r.Revision != first.Revision || r.Accepted != first.Accepted || r.Conflict != first.Conflict {
					t.Fatalf("answered %v, first %v", r, first)
				}
			case known:
				if r.Accepted {
					t.Fatal("an ID was accepted twice")
				}
			default:
				answers[id] = r
				if r.Accepted != (base == newest) {
					t.Fatalf("base %d at %d: %v", base, newest, r)
				}
				if r.Accepted && string(s.Text) != texts[newest] {
					newest++
					texts[newest] = string(s.Text)
				}
			}
			if rapid.Bool().Draw(t, "restart") {
				b.restart(&none)
			}
		}
		for revision, want := range texts {
			if got := b.text(&none, redwingshunt.SectionAccounts, revision); got != want {
				t.Fatalf("revision %d is %q, want %q", revision, got, want)
			}
		}
	})
}
