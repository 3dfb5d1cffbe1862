// Package authenticator finds the client account of a request.
//
// A caller sends its bearer key. The document holds only the SHA-256 of each key,
// so neither the document nor a dump reveals a key. The index of hashes is built
// once per configuration.
//
// # Usage
//
//	handler := redwingshunt.Chain(next, authenticator.New().Filter)
package authenticator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/redwingshunt/redwingshunt"
)

// Authenticator identifies the client account of an exchange and sets
// Exchange.Account. It is safe for concurrent use.
type Authenticator struct {
	index atomic.Pointer[keyIndex]
}

// keyIndex maps the key hashes of one snapshot to its accounts.
type keyIndex struct {
	snapshot *redwingshunt.Snapshot
	accounts map[redwingshunt.KeyHash]*redwingshunt.Account
}

// New returns an authenticator.
func New() *Authenticator { return &Authenticator{} }

// HashKey returns the hash of a bearer key in the format of the document.
func HashKey(key string) redwingshunt.KeyHash {
	sum := sha256.Sum256([]byte(key))
	return redwingshunt.KeyHash("sha256:" + hex.EncodeToString(sum[:]))
}

// BearerKey returns the bearer key of a request, or "" when there is none.
func BearerKey(r *http.Request) string {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// Filter refuses requests without a known key and sets the account of all others.
func (a *Authenticator) Filter(next redwingshunt.Handler) redwingshunt.Handler {
	return redwingshunt.HandlerFunc(func(ctx context.Context, e *redwingshunt.Exchange) error {
		if e.Snapshot == nil {
			return redwingshunt.NotRun(redwingshunt.ReasonNoConfiguration, http.StatusServiceUnavailable,
				"this instance has no configuration yet").After(redwingshunt.RetrySoon)
		}
		key := BearerKey(e.HTTP)
		account := a.Find(e.Snapshot, key)
		if account == nil {
			return redwingshunt.NotRun(redwingshunt.ReasonUnauthorized, http.StatusUnauthorized,
				"send the key of a client account as Authorization: Bearer KEY")
		}
		e.Account = account
		return next.Serve(ctx, e)
	})
}

// Find returns the account that has the given bearer key, or nil.
func (a *Authenticator) Find(s *redwingshunt.Snapshot, key string) *redwingshunt.Account {
	if key == "" {
		return nil
	}
	return a.accounts(s)[HashKey(key)]
}

func (a *Authenticator) accounts(s *redwingshunt.Snapshot) map[redwingshunt.KeyHash]*redwingshunt.Account {
	if index := a.index.Load(); index != nil && index.snapshot == s {
		return index.accounts
	}
	accounts := make(map[redwingshunt.KeyHash]*redwingshunt.Account, len(s.Document.Accounts))
	for i := range s.Document.Accounts {
		account := &s.Document.Accounts[i]
		if account.Key != "" {
			accounts[account.Key] = account
		}
		for _, key := range account.Keys {
			accounts[key] = account
		}
	}
	a.index.Store(&keyIndex{snapshot: s, accounts: accounts})
	return accounts
}
