package link

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"connectrpc.com/connect"

	"github.com/daisylb/daisylb/code"
)

// Header and scheme that carry the peer key.
const (
	keyHeader = "Authorization"
	keyScheme = "Bearer "
)

// Authenticate returns a handler that passes requests with one of the keys to next.
// All other requests get code.PeerUnauthenticated, whatever their path. Several keys
// allow a key to be replaced without interruption. Empty keys are ignored; without
// keys, every request is rejected.
func Authenticate(keys []string, next http.Handler) http.Handler {
	sums := make([][sha256.Size]byte, 0, len(keys))
	for _, key := range keys {
		if key != "" {
			sums = append(sums, sha256.Sum256([]byte(key)))
		}
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !keyAccepted(sums, r.Header.Get(keyHeader)) {
			writeUnauthenticated(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// keyAccepted reports whether the header carries one of the keys. It compares all
// keys in constant time, so that the response time reveals nothing about them.
func keyAccepted(sums [][sha256.Size]byte, header string) bool {
	key, ok := strings.CutPrefix(header, keyScheme)
	sum := sha256.Sum256([]byte(key))
	match := 0
	for i := range sums {
		match |= subtle.ConstantTimeCompare(sums[i][:], sum[:])
	}
	return ok && match == 1
}

// errorWriter writes errors in the protocol of a connect, gRPC or gRPC-Web request.
var errorWriter = connect.NewErrorWriter(connect.WithRequireConnectProtocolHeader())

// writeUnauthenticated rejects a request, in the protocol that its client uses.
func writeUnauthenticated(w http.ResponseWriter, r *http.Request) {
	rejection := code.New(code.PeerUnauthenticated, "the key is missing or not accepted")
	if errorWriter.IsSupported(r) {
		// An error means that the connection is closed; it cannot be reported.
		_ = errorWriter.Write(w, r, Encode(rejection))
		return
	}
	WriteError(w, rejection)
}

// errorBody is a numbered error in OpenAI's JSON format.
type errorBody struct {
	Error struct {
		Message string       `json:"message"`
		Type    string       `json:"type"`
		Code    string       `json:"code"`
		Number  code.Number  `json:"number"`
		Outcome code.Outcome `json:"outcome"`
	} `json:"error"`
}

// WriteError answers a plain HTTP request with err in OpenAI's JSON format, with its
// number and outcome.
func WriteError(w http.ResponseWriter, err error) {
	e := code.From(err)
	d := code.Describe(e.Number)
	var body errorBody
	body.Error.Message = e.Message
	body.Error.Type = "daisylb_error"
	body.Error.Code = d.Name
	body.Error.Number = e.Number
	body.Error.Outcome = e.Outcome
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(d.Status)
	// An error means that the connection is closed; it cannot be reported.
	_ = json.NewEncoder(w).Encode(body)
}
