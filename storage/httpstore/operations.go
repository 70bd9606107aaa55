package httpstore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// emptyResult is the body of a response to an operation without a result.
type emptyResult struct{}

// Get implements storage.Table.
func (s *Store) Get(ctx context.Context, key string) (storage.Row, error) {
	var row storage.Row
	c := call{method: http.MethodGet, path: "/table/row", query: url.Values{"key": {key}}}
	_, err := s.do(ctx, c, &row)
	return row, err
}

// Range implements storage.Table.
func (s *Store) Range(ctx context.Context, start, end string, limit int) ([]storage.Row, error) {
	query := url.Values{"start": {start}, "end": {end}, "limit": {strconv.Itoa(limit)}}
	var rows []storage.Row
	_, err := s.do(ctx, call{method: http.MethodGet, path: "/table/range", query: query}, &rows)
	return rows, err
}

// Apply implements storage.Table.
func (s *Store) Apply(ctx context.Context, t storage.Transaction) (storage.Applied, error) {
	body, err := json.Marshal(t)
	if err != nil {
		return storage.Applied{}, code.Wrap(code.Internal, err, "the transaction cannot be encoded")
	}
	var applied storage.Applied
	c := call{method: http.MethodPost, path: "/table/transaction", body: body, isWrite: true}
	conflicts, err := s.do(ctx, c, &applied)
	if err != nil {
		return storage.Applied{Conflicts: conflicts}, err
	}
	return applied, nil
}

// Put implements storage.Objects.
func (s *Store) Put(ctx context.Context, key string, body []byte) error {
	c := call{method: http.MethodPut, path: "/objects/body", query: url.Values{"key": {key}}, body: body, isWrite: true}
	_, err := s.do(ctx, c, &emptyResult{})
	return err
}

// Open implements storage.Objects. The reader streams the object from the
// connection; a failed read returns code.StoreUnavailable.
func (s *Store) Open(ctx context.Context, key string, offset, length int64) (io.ReadCloser, error) {
	c := call{method: http.MethodGet, path: "/objects/body", query: url.Values{
		"key":    {key},
		"offset": {strconv.FormatInt(offset, 10)},
		"length": {strconv.FormatInt(length, 10)},
	}}
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(s.timeout, cancel)
	response, err := s.send(ctx, c)
	timer.Stop()
	if err != nil {
		cancel()
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_, err := readError(c, response)
		drainAndClose(response.Body)
		cancel()
		return nil, err
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.ProtoMajor == 1 {
		// A store that fails between two lines of an object would look the same.
		_ = response.Body.Close()
		cancel()
		return nil, code.New(code.StoreUnavailable, "the object has neither a length nor chunks")
	}
	return &objectReader{ReadCloser: response.Body, cancel: cancel}, nil
}

// objectReader streams the body of an object and cancels its request when it is
// closed.
type objectReader struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Read implements io.Reader. Errors: code.StoreUnavailable.
func (r *objectReader) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		err = code.Wrap(code.StoreUnavailable, err, "the object's stream broke")
	}
	return n, err
}

// Close implements io.Closer. It cancels the request, also when the body was not
// read to its end.
func (r *objectReader) Close() error {
	err := r.ReadCloser.Close()
	r.cancel()
	return err
}

// Stat implements storage.Objects.
func (s *Store) Stat(ctx context.Context, key string) (storage.ObjectInfo, error) {
	var info storage.ObjectInfo
	c := call{method: http.MethodGet, path: "/objects/stat", query: url.Values{"key": {key}}}
	_, err := s.do(ctx, c, &info)
	return info, err
}

// List implements storage.Objects.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]storage.ObjectInfo, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var infos []storage.ObjectInfo
	_, err := s.do(ctx, call{method: http.MethodGet, path: "/objects/list", query: query}, &infos)
	return infos, err
}

// Delete implements storage.Objects.
func (s *Store) Delete(ctx context.Context, key string) error {
	c := call{method: http.MethodDelete, path: "/objects/body", query: url.Values{"key": {key}}, isWrite: true}
	_, err := s.do(ctx, c, &emptyResult{})
	return err
}

// Instances implements storage.InstanceList.
func (s *Store) Instances(ctx context.Context) ([]storage.ListedInstance, error) {
	var entries []json.RawMessage
	if _, err := s.do(ctx, call{method: http.MethodGet, path: "/instances"}, &entries); err != nil {
		return nil, err
	}
	list := make([]storage.ListedInstance, len(entries))
	for i, entry := range entries {
		if err := json.Unmarshal(entry, &list[i]); err != nil {
			list[i] = storage.ListedInstance{}
		}
	}
	return list, nil
}
