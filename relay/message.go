package relay

import (
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/relay/relaypb"
	"github.com/daisylb/daisylb/storage"
)

func encodeRow(r storage.TableRow) *relaypb.Row {
	return &relaypb.Row{Table: r.Table, Part: r.Part, Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed}
}

func decodeRow(r *relaypb.Row) storage.TableRow {
	return storage.TableRow{RowKey: keyOf(r), Value: r.GetValue(), Version: r.GetVersion(), Removed: r.GetRemoved()}
}

func keyOf(r *relaypb.Row) storage.RowKey {
	return storage.RowKey{Table: r.GetTable(), Part: r.GetPart(), Key: r.GetKey()}
}

// encodePage encodes a page with the number of err, 0 for nil.
func encodePage(page storage.RowPage, err error) *relaypb.Page {
	p := &relaypb.Page{More: page.More, Version: page.Version, NowUs: page.Now.Microseconds(), Number: int32(code.Of(err))}
	for _, r := range page.Rows {
		p.Rows = append(p.Rows, encodeRow(r))
	}
	return p
}

// decodePage decodes a page and the error that encodePage stored in it.
func decodePage(p *relaypb.Page) (storage.RowPage, error) {
	page := storage.RowPage{More: p.GetMore(), Version: p.GetVersion(), Now: time.Duration(p.GetNowUs()) * time.Microsecond}
	for _, r := range p.GetRows() {
		page.Rows = append(page.Rows, decodeRow(r))
	}
	if n := code.Number(p.GetNumber()); n != 0 {
		return page, code.New(n, "the store answered a peer so")
	}
	return page, nil
}

func encodeTransaction(t storage.RowTransaction) *relaypb.ApplyRowsRequest {
	m := &relaypb.ApplyRowsRequest{}
	for _, c := range t.Conditions {
		m.Conditions = append(m.Conditions, encodeRow(storage.TableRow{RowKey: c.RowKey, Version: c.Version}))
	}
	for _, r := range t.Puts {
		m.Puts = append(m.Puts, encodeRow(r))
	}
	for _, k := range t.Removes {
		m.Removes = append(m.Removes, encodeRow(storage.TableRow{RowKey: k}))
	}
	return m
}

func decodeTransaction(m *relaypb.ApplyRowsRequest) storage.RowTransaction {
	var t storage.RowTransaction
	for _, r := range m.GetConditions() {
		t.Conditions = append(t.Conditions, storage.RowCondition{RowKey: keyOf(r), Version: r.GetVersion()})
	}
	for _, r := range m.GetPuts() {
		t.Puts = append(t.Puts, decodeRow(r))
	}
	for _, r := range m.GetRemoves() {
		t.Removes = append(t.Removes, keyOf(r))
	}
	return t
}
