// Package account identifies client accounts by their API keys. The listeners of the
// product's own interface and of the users' platform use it. It keeps sums of keys only,
// never keys, and does no I/O.
package account

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/daisylb/daisylb/code"
)

// KeyHash is the SHA-256 sum of an API key.
type KeyHash [sha256.Size]byte

// HashKey returns the sum of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// ParseKeyHash parses a sum in hexadecimal; ok is false for anything else.
func ParseKeyHash(text string) (hash KeyHash, ok bool) {
	sum, err := hex.DecodeString(text)
	if err != nil || len(sum) != len(hash) {
		return hash, false
	}
	return KeyHash(sum), true
}

// Index finds accounts by the sums of their keys. It is built for one version of the
// configuration with Add, and is immutable and safe for concurrent use after that. A nil
// Index has no accounts.
type Index struct {
	accounts map[KeyHash]string
}

// Add adds a key of an account. A sum that several accounts have belongs to the first one.
func (x *Index) Add(account string, hash KeyHash) {
	if x.accounts == nil {
		x.accounts = map[KeyHash]string{}
	}
	if _, ok := x.accounts[hash]; !ok {
		x.accounts[hash] = account
	}
}

// Authenticate returns the account that the bearer key of a request belongs to. Errors:
// code.Unauthenticated.
func (x *Index) Authenticate(h http.Header) (string, error) {
	key, ok := BearerKey(h)
	if !ok {
		return "", code.New(code.Unauthenticated, "no bearer key in the Authorization header")
	}
	if x != nil {
		if account, ok := x.accounts[HashKey(key)]; ok {
			return account, nil
		}
	}
	return "", code.New(code.Unauthenticated, "the key is not accepted")
}

// bearerScheme is case-insensitive (RFC 9110, section 11.1).
const bearerScheme = "Bearer "

// BearerKey returns the bearer key of a request, and false if there is none.
func BearerKey(h http.Header) (string, bool) {
	value := h.Get("Authorization")
	if len(value) <= len(bearerScheme) || !strings.EqualFold(value[:len(bearerScheme)], bearerScheme) {
		return "", false
	}
	return strings.TrimSpace(value[len(bearerScheme):]), true
}
