package parser

import (
	"fmt"
	"strings"
	"testing"

	"github.com/redwingshunt/redwingshunt"
)

// largeDocument returns a document with the given numbers of accounts and services.
func largeDocument(accounts, services int) []byte {
	var b strings.Builder
	b.WriteString("regions:\n  - {name: north, zones: [north-a, north-b]}\n  - {name: south, zones: [south-a, south-b]}\nservices:\n")
	for i := range services {
		fmt.Fprintf(&b, "  - {name: model-%d, kind: engine, cached: 10}\n", i)
	}
	b.WriteString("accounts:\n")
	for i := range accounts {
		fmt.Fprintf(&b, "  - {name: account-%d, share: %d, home: north, key: \"sha256:%064x\"}\n", i, i%9+1, i)
	}
	return []byte(b.String())
}

// BenchmarkDocument reads documents with an increasing number of accounts.
func BenchmarkDocument(b *testing.B) {
	for _, accounts := range []int{15, 115, 230, 460} {
		text := largeDocument(accounts, 30)
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				if _, findings := Document("-", text); len(findings) > 0 {
					b.Fatal(findings.Error())
				}
			}
		})
	}
}

// BenchmarkSection reads the section accounts alone and checks the merged
// document.
func BenchmarkSection(b *testing.B) {
	whole, findings := Document("-", largeDocument(460, 30))
	if len(findings) > 0 {
		b.Fatal(findings.Error())
	}
	text, err := Encode(whole, redwingshunt.SectionAccounts)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, findings := Section("-", redwingshunt.SectionAccounts, text, whole); len(findings) > 0 {
			b.Fatal(findings.Error())
		}
	}
}
