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

const (
	keyHeader = "Authorization"
	keyScheme = "Bearer "
)

// Authenticate lets requests through that carry one of the keys. All others
// get code.PeerUnauthenticated, whatever path they ask for. Several keys allow
// a change of the key without a gap. Without keys nothing is let through.
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

// accepted compares with every key, so that its time tells nothing of which
// key was close.
func keyAccepted(sums [][sha256.Size]byte, header string) bool {
	key, ok := strings.CutPrefix(header, keyScheme)
	got := sha256.Sum256([]byte(key))
	match := 0
	for i := range sums {
		match |= subtle.ConstantTimeCompare(sums[i][:], got[:])
	}
	return ok && match == 1
}

var errorWriter = connect.NewErrorWriter(connect.WithRequireConnectProtocolHeader())

func writeUnauthenticated(w http.ResponseWriter, r *http.Request) {
	refusal := code.New(code.PeerUnauthenticated, "the key is missing or not accepted")
	if errorWriter.IsSupported(r) {
		// The connection may be gone; there is nobody left to tell.
		_ = errorWriter.Write(w, r, Encode(refusal))
		return
	}
	WriteError(w, refusal)
}

// errorBody is an error in OpenAI's shape with the numbered code.
type errorBody struct {
	Error struct {
		Message string       `json:"message"`
		Type    string       `json:"type"`
		Code    string       `json:"code"`
		Number  code.Number  `json:"number"`
		Outcome code.Outcome `json:"outcome"`
	} `json:"error"`
}

// WriteError answers a plain HTTP request with err in OpenAI's shape, with the
// number and the outcome.
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
	// The connection may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(body)
}
