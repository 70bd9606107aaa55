package link

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"github.com/daisylb/daisylb/code"
)

// Metadata keys of a numbered error.
const (
	numberHeader  = "Daisylb-Number"
	outcomeHeader = "Daisylb-Outcome"
	retryHeader   = "Daisylb-Retry-Ms"
)

// MaxMessageBytes is the largest size of a message between peers.
const MaxMessageBytes = 4 << 20

// Encode returns err as a connect error that carries its number, outcome, message and
// retry hint. The cause is not sent.
func Encode(err error) *connect.Error {
	e := code.From(err)
	out := connect.NewError(connectCode(e.Number), errors.New(e.Message))
	out.Meta().Set(numberHeader, strconv.Itoa(int(e.Number)))
	out.Meta().Set(outcomeHeader, string(e.Outcome))
	if e.RetryAfter > 0 {
		out.Meta().Set(retryHeader, strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
	}
	return out
}

// Decode returns the numbered error that a peer sent. An error without a number, such
// as that of a broken connection, becomes code.PeerUnreachable, whose outcome is
// unknown. It returns nil for nil.
func Decode(err error) error {
	if err == nil {
		return nil
	}
	var numbered *code.Error
	if errors.As(err, &numbered) {
		return err
	}
	var remote *connect.Error
	if !errors.As(err, &remote) {
		return code.Wrap(code.PeerUnreachable, err, "the peer did not answer")
	}
	number, parseErr := strconv.Atoi(remote.Meta().Get(numberHeader))
	if parseErr != nil {
		return code.Wrap(code.PeerUnreachable, err, "the peer did not answer")
	}
	e := code.Wrap(code.Number(number), err, "%s", remote.Message())
	if o := remote.Meta().Get(outcomeHeader); o != "" {
		e = e.WithOutcome(code.Outcome(o))
	}
	if millis, err := strconv.ParseInt(remote.Meta().Get(retryHeader), 10, 64); err == nil {
		e = e.WithRetryAfter(time.Duration(millis) * time.Millisecond)
	}
	return e
}

// connectCode returns the connect code that fits the HTTP status of a number.
func connectCode(n code.Number) connect.Code {
	switch code.Describe(n).Status {
	case http.StatusBadRequest:
		return connect.CodeInvalidArgument
	case http.StatusUnauthorized:
		return connect.CodeUnauthenticated
	case http.StatusForbidden:
		return connect.CodePermissionDenied
	case http.StatusNotFound:
		return connect.CodeNotFound
	case http.StatusConflict:
		return connect.CodeAborted
	case http.StatusTooManyRequests, http.StatusRequestEntityTooLarge:
		return connect.CodeResourceExhausted
	case http.StatusServiceUnavailable, http.StatusBadGateway:
		return connect.CodeUnavailable
	}
	return connect.CodeInternal
}

// ClientOptions returns the options of all connect clients for peers. They limit the
// size of messages and decode numbered errors.
func ClientOptions() connect.ClientOption {
	return connect.WithClientOptions(
		connect.WithInterceptors(decodeInterceptor{}),
		connect.WithReadMaxBytes(MaxMessageBytes),
	)
}

// HandlerOptions returns the options of all connect handlers for peers. They limit the
// size of messages and encode numbered errors.
func HandlerOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithInterceptors(encodeInterceptor{}),
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithCompressMinBytes(1<<10),
	)
}

// decodeInterceptor decodes the errors of unary calls. Streams return connect errors,
// which must be passed to Decode.
type decodeInterceptor struct{}

func (decodeInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		response, err := next(ctx, r)
		return response, Decode(err)
	}
}

func (decodeInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

func (decodeInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// encodeInterceptor encodes the errors of handlers.
type encodeInterceptor struct{}

func (encodeInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		response, err := next(ctx, r)
		if err != nil {
			return nil, Encode(err)
		}
		return response, nil
	}
}

func (encodeInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

func (encodeInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, c connect.StreamingHandlerConn) error {
		if err := next(ctx, c); err != nil {
			return Encode(err)
		}
		return nil
	}
}
