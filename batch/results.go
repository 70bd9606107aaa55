package batch

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"

	"github.com/daisylb/daisylb/code"
)

// Results writes to w the committed results of the items, starting with the item
// whose number is from. It writes one line for each, in the order of the input, and
// returns the number of the next item to request. For an open job it ends before the first item without a
// committed result; for other jobs it skips such items. It holds one line of
// each part of a segment in memory.
//
// Errors: code.JobUnknown; code.InvalidField when from is out of range;
// code.ResultsNotReady when the job is open and no result was written;
// code.CallerGone when w fails; errors of the store. After an error of the store,
// the results before the returned number have been written.
func (s *Service) Results(ctx context.Context, account, id string, from int, w io.Writer) (next int, err error) {
	job, _, err := s.readJob(ctx, account, id)
	if err != nil {
		return from, err
	}
	if from < 0 || from > job.Counts.Total {
		return from, code.New(code.InvalidField, "from is %d, the job has %d items", from, job.Counts.Total)
	}
	manifest, err := s.store.manifest(ctx, job)
	if err != nil {
		return from, err
	}
	r := &resultReader{store: s.store, job: job, w: w, next: from}
	if err := r.readAll(ctx, manifest); err != nil {
		return r.next, err
	}
	if r.written == 0 && job.State == StateOpen && from < job.Counts.Total {
		return from, code.New(code.ResultsNotReady, "no result from item %d on is committed yet", from)
	}
	return r.next, nil
}

// manifest reads the manifest of the job, which has an entry for each segment.
func (m *meteredStore) manifest(ctx context.Context, job jobRow) ([]manifestEntry, error) {
	b, err := m.readObject(ctx, inputObject(job.Upload, job.Objects-1), job.ManifestOffset, -1)
	if err != nil {
		return nil, err
	}
	return decodeManifest(b, job.Segments)
}

// resultReader writes the results of a job to w.
type resultReader struct {
	store *meteredStore
	job   jobRow
	w     io.Writer
	// next is the number of the next item; written counts the results written.
	next    int
	written int
}

// segmentPageRows is the number of segment rows that are read at once.
const segmentPageRows = 64

// readAll writes the results of all segments from item next on.
func (r *resultReader) readAll(ctx context.Context, manifest []manifestEntry) error {
	for first := 0; first < len(manifest); first += segmentPageRows {
		last := min(first+segmentPageRows, len(manifest))
		if e := manifest[last-1]; int(e.First+e.Items) <= r.next {
			continue
		}
		rows, err := r.store.segments(ctx, r.job.ID, first, last)
		if err != nil {
			return err
		}
		for i := first; i < last; i++ {
			more, err := r.readSegment(ctx, manifest[i], rows[i])
			if err != nil || !more {
				return err
			}
		}
	}
	return nil
}

// segments reads the rows of the segments from first up to but not including
// last, by number. Segments that were never leased have no row.
func (m *meteredStore) segments(ctx context.Context, job string, first, last int) (map[int]versionedSegment, error) {
	rows, err := m.rangeRows(ctx, segmentKey(job, first), segmentKey(job, last), last-first)
	if err != nil {
		return nil, err
	}
	found := make(map[int]versionedSegment, len(rows))
	for _, row := range rows {
		n, err := strconv.Atoi(row.Key[len(segmentsPrefix(job)):])
		if err != nil {
			return nil, code.Wrap(code.Internal, err, "row %q is not a segment", row.Key)
		}
		segment, err := decode[segmentRow](row)
		if err != nil {
			return nil, err
		}
		found[n] = versionedSegment{segment, row.Version}
	}
	return found, nil
}

// versionedSegment is the row of a segment with its version.
type versionedSegment struct {
	segmentRow
	version uint64
}

// readSegment writes the results of one segment and reports whether to continue
// with the next one.
func (r *resultReader) readSegment(ctx context.Context, e manifestEntry, row versionedSegment) (more bool, err error) {
	end := int(e.First + e.Items)
	if end <= r.next {
		return true, nil
	}
	open := r.job.State == StateOpen
	merged, err := openParts(ctx, r.store, row.Parts)
	if err != nil {
		return false, err
	}
	defer merged.Close()
	for {
		number, line, err := merged.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return false, err
		}
		if number < r.next {
			continue
		}
		if open && number > r.next {
			return false, nil
		}
		if _, err := r.w.Write(line); err != nil {
			return false, code.Wrap(code.CallerGone, err, "write results")
		}
		r.written++
		r.next = number + 1
	}
	if open && r.next < end {
		return false, nil
	}
	r.next = end
	return true, nil
}

// mergedParts merges the lines of several parts in the order of the items.
type mergedParts struct {
	parts []*partReader
}

// openParts opens the objects of the parts and reads the first line of each.
func openParts(ctx context.Context, store *meteredStore, parts []resultPart) (*mergedParts, error) {
	m := &mergedParts{}
	for _, p := range parts {
		body, err := store.Open(ctx, p.Object, 0, -1)
		if err != nil {
			m.Close()
			return nil, err
		}
		reader := &partReader{object: p.Object, body: body, lines: bufio.NewReader(body)}
		m.parts = append(m.parts, reader)
		if err := reader.advance(); err != nil {
			m.Close()
			return nil, err
		}
	}
	return m, nil
}

// next returns the line with the lowest number, or io.EOF.
func (m *mergedParts) next() (number int, line []byte, err error) {
	var first *partReader
	for _, p := range m.parts {
		if p.line != nil && (first == nil || p.number < first.number) {
			first = p
		}
	}
	if first == nil {
		return 0, nil, io.EOF
	}
	number, line = first.number, first.line
	return number, line, first.advance()
}

// Close closes all parts.
func (m *mergedParts) Close() {
	for _, p := range m.parts {
		p.body.Close()
	}
}

// partReader reads the lines of one part. A stored line is the item's number, a
// tab and the result. number and line are the current line; line is nil at the
// end.
type partReader struct {
	object string
	body   io.ReadCloser
	lines  *bufio.Reader
	number int
	line   []byte
}

// advance reads the next line.
func (p *partReader) advance() error {
	p.line = nil
	stored, err := p.lines.ReadBytes('\n')
	if errors.Is(err, io.EOF) && len(stored) == 0 {
		return nil
	}
	if err != nil {
		return code.Wrap(code.StoreUnavailable, err, "read object %q", p.object)
	}
	number, line, _ := bytes.Cut(stored, []byte{'\t'})
	p.number, err = strconv.Atoi(string(number))
	if err != nil {
		return code.Wrap(code.Internal, err, "object %q is damaged", p.object)
	}
	p.line = line
	return nil
}

// appendResult appends the stored form of a result.
func appendResult(b []byte, number int, line []byte) []byte {
	b = strconv.AppendInt(b, int64(number), 10)
	b = append(b, '\t')
	b = append(b, line...)
	return append(b, '\n')
}
