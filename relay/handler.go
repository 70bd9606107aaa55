package relay

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/link"
	"github.com/daisylb/daisylb/relay/relaypb"
	"github.com/daisylb/daisylb/relay/relaypb/relaypbconnect"
	"github.com/daisylb/daisylb/storage"
)

// handler makes calls of the store on behalf of peers. It never passes them on
// to another peer.
type handler struct {
	store storage.RowStore
}

// NewHandler returns the path and the handler that serve peers from store.
// Store must be the store itself and not a relay.Store, so that a call passes
// through at most one peer. While stopping reports true, calls are rejected with
// code.StoreUnavailable, upon which peers use another instance; nil means never.
func NewHandler(store storage.RowStore, stopping func() bool) (string, http.Handler) {
	return relaypbconnect.NewRelayServiceHandler(&handler{store}, link.HandlerOptions(),
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithInterceptors(rejectWhile(stopping)))
}

// rejectWhile returns an interceptor that rejects calls while stopping reports true.
func rejectWhile(stopping func() bool) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			if stopping != nil && stopping() {
				return nil, code.New(code.StoreUnavailable, "the instance is stopping")
			}
			return next(ctx, r)
		}
	}
}

// GetRows implements relaypbconnect.RelayServiceHandler.
func (h *handler) GetRows(ctx context.Context, r *connect.Request[relaypb.GetRowsRequest]) (*connect.Response[relaypb.Page], error) {
	page, err := h.store.GetRows(ctx, r.Msg.GetTable(), r.Msg.GetPart(), r.Msg.GetFrom(), r.Msg.GetTo())
	return pageResponse(page, err)
}

// ApplyRows implements relaypbconnect.RelayServiceHandler.
func (h *handler) ApplyRows(ctx context.Context, r *connect.Request[relaypb.ApplyRowsRequest]) (*connect.Response[relaypb.Page], error) {
	page, err := h.store.ApplyRows(ctx, decodeTransaction(r.Msg))
	return pageResponse(page, err)
}

// RowChanges implements relaypbconnect.RelayServiceHandler.
func (h *handler) RowChanges(ctx context.Context, r *connect.Request[relaypb.RowChangesRequest]) (*connect.Response[relaypb.Page], error) {
	wait := time.Duration(r.Msg.GetWaitMs()) * time.Millisecond
	page, err := h.store.RowChanges(ctx, r.Msg.GetTable(), r.Msg.GetAfter(), wait)
	response, err := pageResponse(page, err)
	if err == nil && proto.Size(response.Msg) > maxFeedBytes {
		// Makes the caller read the table in pages instead.
		return nil, code.New(code.StoreHistoryGone, "the changes after version %d are over %d bytes", r.Msg.GetAfter(), maxFeedBytes)
	}
	return response, err
}

// PutBlob implements relaypbconnect.RelayServiceHandler.
func (h *handler) PutBlob(ctx context.Context, r *connect.Request[relaypb.Blob]) (*connect.Response[relaypb.Done], error) {
	if err := h.store.PutBlob(ctx, r.Msg.GetName(), r.Msg.GetBody()); err != nil {
		return nil, err
	}
	return connect.NewResponse(&relaypb.Done{}), nil
}

// GetBlob implements relaypbconnect.RelayServiceHandler.
func (h *handler) GetBlob(ctx context.Context, r *connect.Request[relaypb.BlobName]) (*connect.Response[relaypb.Blob], error) {
	body, err := h.store.GetBlob(ctx, r.Msg.GetName())
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&relaypb.Blob{Name: r.Msg.GetName(), Body: body}), nil
}

// pageResponse returns the response for a page. A conflict is part of the page,
// which has the current rows; any other error is returned as such.
func pageResponse(page storage.RowPage, err error) (*connect.Response[relaypb.Page], error) {
	if err != nil && code.Of(err) != code.StoreConflict {
		return nil, err
	}
	return connect.NewResponse(encodePage(page, err)), nil
}
