package claim

import (
	"context"
	"io"
	"net/http"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/daisylb/daisylb/claim/claimpb"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// errInvalidRowKey rejects a forwarded commit whose key is not the row of a claim, or
// which has no record.
var errInvalidRowKey = code.New(code.InvalidField, "the commit names no row of a claim")

// encodeAnswer encodes an answer with its header fields sorted by name.
func encodeAnswer(a contract.PlainAnswer) ([]byte, error) {
	m := &claimpb.Answer{Status: int32(a.Status), Body: a.Body}
	names := make([]string, 0, len(a.Header))
	for name := range a.Header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		m.Header = append(m.Header, &claimpb.Field{Name: name, Values: a.Header[name]})
	}
	encoded, err := proto.Marshal(m)
	if err != nil {
		return nil, code.Wrap(code.Internal, err, "the answer cannot be encoded")
	}
	return encoded, nil
}

func decodeAnswer(encoded []byte) (contract.PlainAnswer, error) {
	m := &claimpb.Answer{}
	if err := proto.Unmarshal(encoded, m); err != nil {
		return contract.PlainAnswer{}, code.Wrap(code.Internal, err, "the stored answer cannot be decoded")
	}
	a := contract.PlainAnswer{Status: int(m.Status), Body: m.Body}
	if len(m.Header) > 0 {
		a.Header = make(http.Header, len(m.Header))
	}
	for _, f := range m.Header {
		a.Header[f.Name] = f.Values
	}
	return a, nil
}

// readAnswer returns the answer of a finished claim. It returns code.ResultPending
// when the answer can't be read at present, since the call has run, and
// code.OutcomeUnknown when its object no longer exists.
func (s *Service) readAnswer(ctx context.Context, record *claimpb.Record) (contract.PlainAnswer, error) {
	if record.Span == nil {
		return decodeAnswer(record.Answer)
	}
	encoded, err := s.readSpan(ctx, record.Span)
	if code.Of(err) == code.StoreNotFound {
		return contract.PlainAnswer{}, code.Wrap(code.OutcomeUnknown, err, "the stored answer is gone")
	}
	if err != nil {
		return contract.PlainAnswer{}, errPending("the stored answer cannot be read at present")
	}
	return decodeAnswer(encoded)
}

// readSpan reads the part of an object that holds an answer.
func (s *Service) readSpan(ctx context.Context, span *claimpb.Span) ([]byte, error) {
	body, err := s.options.Objects.Open(ctx, span.Object, span.Offset, span.Length)
	if err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	encoded, err := io.ReadAll(body)
	if err != nil {
		return nil, err
	}
	if int64(len(encoded)) != span.Length {
		return nil, code.New(code.StoreUnavailable, "the stored answer has %d bytes, want %d", len(encoded), span.Length)
	}
	return encoded, nil
}
