package registrar_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/merger"
	"github.com/redwingshunt/redwingshunt/registrar"
)

// accountsText returns the text of a section with many accounts; the share of one
// of them depends on n.
func accountsText(accounts, n int) []byte {
	var text strings.Builder
	text.WriteString("accounts:\n")
	for i := range accounts {
		share := 1 + i%9
		if i == n%accounts {
			share = 10 + n%90
		}
		fmt.Fprintf(&text, "  - {name: account-%03d, share: %d, home: north, key: \"sha256:%064x\"}\n", i, share, i)
	}
	return []byte(text.String())
}

// withChanges returns a registrar after some changes of its accounts, and the
// size in bytes of the last command.
func withChanges(b *testing.B, accounts, changes int) (*fixture, int) {
	r := newStartedFixture(b)
	size := 0
	for n := range changes {
		size = r.submitAccounts(b, accounts, n)
	}
	return r, size
}

// submitAccounts submits the accounts with one change and returns the size of the
// command in bytes.
func (r *fixture) submitAccounts(b *testing.B, accounts, n int) int {
	part := merger.Find(r.State().Parts, redwingshunt.SectionAccounts)
	r.now = r.now.Add(time.Second)
	command, err := registrar.Submit(r.now, redwingshunt.Submission{
		ID: fmt.Sprintf("submission-%06d", n), Team: "billing", Section: redwingshunt.SectionAccounts,
		Base: part.Revision, Text: accountsText(accounts, n),
	}, key2, part.Text)
	reply, err := r.apply(b, command, err)
	if err != nil || !reply.GetReceipt().GetAccepted() {
		b.Fatal(reply, err)
	}
	return len(command)
}

// BenchmarkApply measures one change of one account.
func BenchmarkApply(b *testing.B) {
	for _, accounts := range []int{15, 115, 460} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			r, size := withChanges(b, accounts, 2)
			n := 2
			for b.Loop() {
				r.submitAccounts(b, accounts, n)
				n++
			}
			b.ReportMetric(float64(size), "B/command")
		})
	}
}

// BenchmarkSnapshot measures a snapshot with 460 accounts.
func BenchmarkSnapshot(b *testing.B) {
	for _, changes := range []int{100, 5000} {
		r, _ := withChanges(b, 460, changes)
		snapshot, err := r.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("encode/", changes), func(b *testing.B) {
			for b.Loop() {
				if _, err := r.Snapshot(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(snapshot)), "B")
		})
		b.Run(fmt.Sprint("restore/", changes), func(b *testing.B) {
			for b.Loop() {
				if err := newFixture().Restore(snapshot); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
