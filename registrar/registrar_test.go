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

// startDocument is a document with two teams, of which billing may edit only the
// accounts.
const startDocument = `# who may edit what
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

var startTime = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func init() { _ = flag.Set("rapid.seed", "7") }

// fixture is a registrar with a simulated clock.
type fixture struct {
	*registrar.Registrar
	now   time.Time
	index uint64
}

func newFixture() *fixture {
	return &fixture{
		Registrar: registrar.New(registrar.Options{Document: parser.Document, Section: parser.Section, CheckChange: claimer.FindMovedKeys}),
		now:       startTime,
	}
}

// newStartedFixture returns a registrar whose document is startDocument, at
// revision 1.
func newStartedFixture(t testing.TB) *fixture {
	b := newFixture()
	r := b.submit(t, redwingshunt.Submission{ID: "first", Team: registrar.Bootstrap, Text: []byte(startDocument)}, "")
	if !r.Accepted {
		t.Fatal(r)
	}
	return b
}

func (b *fixture) apply(t testing.TB, command []byte, err error) (*wire.RegistrarReply, error) {
	if err != nil {
		t.Fatal(err)
	}
	b.index++
	return registrar.Reply(b.Apply(b.index, command))
}

func (b *fixture) submit(t testing.TB, s redwingshunt.Submission, key redwingshunt.KeyHash) redwingshunt.Receipt {
	b.now = b.now.Add(time.Second)
	command, err := registrar.Submit(b.now, s, key, nil)
	reply, err := b.apply(t, command, err)
	if err != nil {
		t.Fatal(err)
	}
	return registrar.Receipt(reply.GetReceipt())
}

func (b *fixture) text(t testing.TB, section redwingshunt.Section, revision redwingshunt.Revision) string {
	command, err := registrar.Text(b.now, section, revision)
	reply, err := b.apply(t, command, err)
	if err != nil {
		return err.Error()
	}
	return string(reply.GetText())
}

// restart replaces the registrar with one restored from its snapshot.
func (b *fixture) restart(t testing.TB) {
	snapshot, err := b.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	next := newFixture()
	if err := next.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	b.Registrar = next.Registrar
}

func accountsWithShare(share int) []byte {
	return fmt.Appendf(nil, "accounts: # share %d\n  - {name: alpha, share: %d, home: north, key: %s}\n", share, share, key3)
}

// accountsSubmission returns a submission of the accounts by the team billing.
func accountsSubmission(id string, base redwingshunt.Revision, share int) redwingshunt.Submission {
	return redwingshunt.Submission{ID: id, Team: "billing", Section: redwingshunt.SectionAccounts, Base: base, Text: accountsWithShare(share)}
}

func TestEqualBases(t *testing.T) {
	is := is.New(t)
	b := newStartedFixture(t)
	accepted := b.submit(t, accountsSubmission("a", 1, 2), key2)
	refused := b.submit(t, accountsSubmission("b", 1, 3), key2)
	is.True(accepted.Accepted)
	is.Equal(accepted.Revision, redwingshunt.Revision(2))
	is.True(!refused.Accepted)
	is.True(strings.Contains(refused.Conflict, "submission a")) // names the accepted change
	is.Equal(b.State().Document.Accounts[0].Share, redwingshunt.Share(2))

	other := b.submit(t, redwingshunt.Submission{
		ID: "c", Team: "platform", Section: redwingshunt.SectionFleet, Base: 0, Text: []byte("fleet: {gap: 2s}\n"),
	}, key1)
	is.True(other.Accepted) // another section does not conflict
	again := b.submit(t, accountsSubmission("d", 2, 3), key2)
	is.True(again.Accepted) // its base is still the newest revision of its section
	is.Equal(again.Revision, redwingshunt.Revision(4))
}

func TestResend(t *testing.T) {
	is := is.New(t)
	b := newStartedFixture(t)
	first := b.submit(t, accountsSubmission("a", 1, 2), key2)
	refused := b.submit(t, accountsSubmission("b", 1, 3), key2)
	b.submit(t, accountsSubmission("c", 2, 4), key2)
	b.restart(t)
	b.now = b.now.Add(3 * 24 * time.Hour)

	again := b.submit(t, accountsSubmission("a", 1, 2), key2)
	is.True(again.Repeated)
	again.Repeated = false
	is.Equal(again, first)
	again = b.submit(t, accountsSubmission("b", 1, 3), key2)
	is.True(again.Repeated)
	is.Equal(again.Conflict, refused.Conflict)
	is.Equal(b.State().Revision, redwingshunt.Revision(3)) // nothing was executed twice

	other := b.submit(t, accountsSubmission("a", 1, 9), key2) // another submission with the same ID
	is.True(!other.Accepted && len(other.Findings) == 1)
}

func TestAnswersExpire(t *testing.T) {
	is := is.New(t)
	b := newStartedFixture(t)
	b.submit(t, accountsSubmission("a", 1, 2), key2)
	b.now = b.now.Add(100 * 365 * 24 * time.Hour) // the clock of one proposer is far ahead
	b.submit(t, accountsSubmission("b", 2, 3), key2)
	is.True(b.submit(t, accountsSubmission("a", 1, 2), key2).Repeated)
	b.now = startTime
	for i := range 24*7 + 2 {
		b.now = b.now.Add(time.Hour)
		b.submit(t, accountsSubmission(fmt.Sprint("n", i), 0, 2), key2)
	}
	late := b.submit(t, accountsSubmission("a", 1, 2), key2) // its answer has expired, but it is not executed again
	is.True(!late.Repeated && !late.Accepted && late.Conflict != "")
}

func TestRefusals(t *testing.T) {
	teams := func(edits string) string {
		return "teams:\n  - {name: platform, key: " + key1 + ", edits: [" + edits + "]}\n"
	}
	_, withoutTeams, _ := strings.Cut(startDocument, "accounts]}\n")
	tests := map[string]struct {
		team    redwingshunt.TeamID
		key     redwingshunt.KeyHash
		section redwingshunt.Section
		text    string
		want    string
	}{
		"section of another team":  {"billing", key2, "services", "services:\n  - {name: desk, kind: plain}\n", "may not edit"},
		"document, other section":  {"billing", key2, "", strings.Replace(startDocument, "kind: plain", "kind: engine", 1), "may not edit"},
		"unknown team":             {"sales", key2, "accounts", string(accountsWithShare(2)), "no team"},
		"bootstrap with teams":     {"bootstrap", "", "accounts", string(accountsWithShare(2)), "no team"},
		"replaced key":             {"billing", key1, "accounts", string(accountsWithShare(2)), "has changed"},
		"nobody may edit teams":    {"platform", key1, "teams", teams("accounts"), "no team"},
		"no team left":             {"platform", key1, "", withoutTeams, "no team"},
		"dangling reference":       {"platform", key1, "regions", "regions:\n  - {name: south, zones: [south-a]}\n", "north"},
		"end marker after section": {"billing", key2, "accounts", string(accountsWithShare(2)) + "...\n", "mark"},
		"two sections in one text": {"billing", key2, "accounts", string(accountsWithShare(2)) + teams("teams"), "teams"},
		"document in flow style":   {"platform", key1, "", "{regions: [{name: north, zones: [a]}], teams: [" + strings.Join(strings.Split(startDocument, "\n  - ")[1:2], "") + "], services: [{name: desk, kind: plain}], accounts: [{name: alpha, share: 1, home: north, key: \"" + key3 + "\"}]}\n", "beginning of a line"},
		"change of claim groups":   {"platform", key1, "", startDocument + "fleet: {groups: 7}\n", "groups"},
		"hidden section":           {"billing", key2, "", startDocument + "\"once\":\n  - {service: desk, path: /x}\n", "beginning of a line"},
		"quoted key":               {"platform", key1, "", strings.Replace(startDocument, "regions:", `"regions":`, 1), "beginning of a line"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newStartedFixture(t)
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
			b := newFixture()
			dry := b.submit(t, redwingshunt.Submission{ID: "x", Team: registrar.Bootstrap, Text: text, DryRun: true}, "")
			is.Equal(dry, redwingshunt.Receipt{Revision: 1})
			is.Equal(b.State().Revision, redwingshunt.Revision(0))
			is.True(b.submit(t, redwingshunt.Submission{ID: "x", Team: registrar.Bootstrap, Text: text}, "").Accepted)
			is.Equal(string(merger.Join(b.State().Parts)), string(text)) // comments are preserved
		})
	}
}

func TestFence(t *testing.T) {
	is := is.New(t)
	b := newFixture()
	acquire := func(holder string) *wire.FenceReply {
		command, err := registrar.Fence(b.now, "orders", holder, 10*time.Second)
		reply, err := b.apply(t, command, err)
		is.NoErr(err)
		return reply.GetFence()
	}
	is.Equal(acquire("a").GetNumber(), uint64(1))
	is.True(!acquire("b").GetGranted()) // lease of a has not expired
	b.now = b.now.Add(5 * time.Second)
	is.Equal(acquire("a").GetNumber(), uint64(1)) // renewal keeps the number
	b.restart(t)
	b.now = b.now.Add(9 * time.Second)
	is.True(!acquire("b").GetGranted())
	b.now = b.now.Add(2 * time.Second)
	is.Equal(acquire("b").GetNumber(), uint64(2))
}

// TestRetention submits more than MaxChanges changes, with a parser that accepts
// every text.
func TestRetention(t *testing.T) {
	is := is.New(t)
	b := newFixture()
	document := &redwingshunt.Document{Teams: []redwingshunt.Team{{Name: "billing", Key: key2, Edits: redwingshunt.Sections()}}}
	b.Registrar = registrar.New(registrar.Options{
		Document: func(string, []byte) (*redwingshunt.Document, redwingshunt.Findings) { return document, nil },
		Section: func(string, redwingshunt.Section, []byte, *redwingshunt.Document) (*redwingshunt.Document, redwingshunt.Findings) {
			return document, nil
		},
	})
	first := b.submit(t, redwingshunt.Submission{ID: "0", Team: registrar.Bootstrap, Section: redwingshunt.SectionAccounts, Text: accountsWithShare(0)}, "")
	is.True(first.Accepted)
	const extra = 10
	for n := 1; n < registrar.MaxChanges+extra; n++ {
		is.True(b.submit(t, accountsSubmission(fmt.Sprint(n), redwingshunt.Revision(n), n), key2).Accepted)
	}
	is.Equal(b.text(t, redwingshunt.SectionAccounts, extra), string(accountsWithShare(extra-1)))
	is.True(strings.Contains(b.text(t, redwingshunt.SectionAccounts, extra-1), "not kept"))
	is.True(b.submit(t, accountsSubmission(fmt.Sprint(extra), extra, extra), key2).Repeated)
	expired := b.submit(t, accountsSubmission(fmt.Sprint(extra-1), extra-1, extra-1), key2)
	is.True(!expired.Repeated && expired.Conflict != "")

	document.Teams[0].Edits = []redwingshunt.Section{redwingshunt.SectionAccounts}
	newest := redwingshunt.Revision(registrar.MaxChanges + extra)
	refused := b.submit(t, accountsSubmission("lock", newest, 1), key2)
	is.True(strings.Contains(refused.Findings.Error(), "no team would be left"))
}

// TestModel compares the registrar with a simple model under random commands and
// restarts.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newFixture()
		var none testing.T
		if !b.submit(&none, redwingshunt.Submission{ID: "first", Team: registrar.Bootstrap, Text: []byte(startDocument)}, "").Accepted {
			t.Fatal("first document was refused")
		}
		texts := map[redwingshunt.Revision]string{1: string(merger.Find(b.State().Parts, "accounts").Text)}
		answers := map[string]redwingshunt.Receipt{}
		newest := redwingshunt.Revision(1)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			id := fmt.Sprint(rapid.IntRange(0, 15).Draw(t, "id"))
			base := newest - redwingshunt.Revision(rapid.IntRange(0, 1).Draw(t, "behind"))
			s := accountsSubmission(id, base, rapid.IntRange(1, 5).Draw(t, "share"))
			first, known := answers[id]
			r := b.submit(&none, s, key2)
			switch {
			case known && r.Repeated:
				r.Repeated = false
				if r.Revision != first.Revision || r.Accepted != first.Accepted || r.Conflict != first.Conflict {
					t.Fatalf("repeated answer is %v, first answer was %v", r, first)
				}
			case known:
				if r.Accepted {
					t.Fatal("submission ID was accepted twice")
				}
			default:
				answers[id] = r
				if r.Accepted != (base == newest) {
					t.Fatalf("submission with base %d at revision %d: %v", base, newest, r)
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
				t.Fatalf("text of revision %d is %q, want %q", revision, got, want)
			}
		}
	})
}
