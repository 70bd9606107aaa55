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

// Results writes the committed results of the items from number from on, one
// line each, in the order of the input, and returns the number of the next
// item to ask for. For a job in progress it ends before the first item without
// a committed result; for other jobs it skips such items. It holds one line of
// each part of a segment in memory.
//
// Errors: code.JobUnknown; code.ResultsNotReady when no result was written and
// the job is in progress; errors of the store and of w. After an error of the
// store, the results before the returned number have been written.
func (s *Service) Results(ctx context.Context, account, id string, from int, w io.Writer) (next int, err error) {
	job, _, err := s.job(ctx, account, id)
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
	if err := r.run(ctx, manifest); err != nil {
		return r.next, err
	}
	if r.written == 0 && job.State == StateOpen && from < job.Counts.Total {
		return from, code.New(code.ResultsNotReady, "no result from item %d on is committed yet", from)
	}
	return r.next, nil
}

// manifest reads the entries of the job's segments.
func (m *meteredStore) manifest(ctx context.Context, job jobRow) ([]entry, error) {
	b, err := m.read(ctx, inputObject(job.Upload, job.Objects-1), job.Manifest, -1)
	if err != nil {
		return nil, err
	}
	return decodeManifest(b, job.Segments)
}

type resultReader struct {
	store   *meteredStore
	job     jobRow
	w       io.Writer
	next    int
	written int
}

// segmentPage is the number of segment rows that are read at once.
const segmentPage = 64

func (r *resultReader) run(ctx context.Context, manifest []entry) error {
	for first := 0; first < len(manifest); first += segmentPage {
		last := min(first+segmentPage, len(manifest))
		if e := manifest[last-1]; int(e.First+e.Items) <= r.next {
			continue
		}
		rows, err := r.store.segments(ctx, r.job.ID, first, last)
		if err != nil {
			return err
		}
		for i := first; i < last; i++ {
			more, err := r.segment(ctx, manifest[i], rows[i])
			if err != nil || !more {
				return err
			}
		}
	}
	return nil
}

// segments reads the rows of the segments from first to before last by number.
func (m *meteredStore) segments(ctx context.Context, job string, first, last int) (map[int]versionedSegment, error) {
	rows, err := m.rows(ctx, segmentKey(job, first), segmentKey(job, last), last-first)
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

type versionedSegment struct {
	segmentRow
	version uint64
}

// segment writes the results of one segment and reports whether to go on.
func (r *resultReader) segment(ctx context.Context, e entry, row versionedSegment) (more bool, err error) {
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

// mergedParts reads the lines of several parts in the order of the items.
type mergedParts struct {
	parts []*partReader
}

func openParts(ctx context.Context, store *meteredStore, parts []part) (*mergedParts, error) {
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
// tab and the result.
type partReader struct {
	object string
	body   io.ReadCloser
	lines  *bufio.Reader
	number int
	line   []byte
}

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

// appendStored appends the stored form of a result.
func appendStored(b []byte, number int, line []byte) []byte {
	b = strconv.AppendInt(b, int64(number), 10)
	b = append(b, '\t')
	b = append(b, line...)
	return append(b, '\n')
}
