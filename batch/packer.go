package batch

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"hash"
	"io"
	"strconv"
	"strings"

	"github.com/daisylb/daisylb/code"
)

// Limits of packed input.
const (
	maxSegmentItems     = 500
	maxSegmentBytes     = 1 << 20
	maxObjectBytes      = 4 << 20
	defaultMaxLineBytes = 1 << 20
	readBufferBytes     = 64 << 10
	// maxReportedLines is the maximum number of invalid lines that an error names.
	maxReportedLines = 20
)

// packer splits JSONL input into segments and packs the segments into objects. It
// holds one object in memory. Items are numbered from 0.
type packer struct {
	// put stores object number n. If it is nil, the input is only checked and hashed.
	put func(ctx context.Context, n int, body []byte) error
	// check validates a line and returns its custom_id as far as it is known.
	check        func(line []byte) (customID string, err error)
	maxLineBytes int
	maxItems     int
	onInvalid    OnInvalid

	contentHash hash.Hash
	// object is the object being filled, current its last segment.
	object       []byte
	objects      int
	manifest     []byte
	current      manifestEntry
	segments     int
	items        int
	lineNumber   int
	invalidLines []string
	invalidCount int
}

// packed is the result of packing. The manifest begins at byte manifestOffset of
// the last object.
type packed struct {
	contentHash    string
	items          int
	segments       int
	objects        int
	manifestOffset int64
}

// pack reads the input to its end and packs its items. Blank lines contain no
// item but count as lines. Errors: code.ItemInvalid, code.TooManyItems,
// code.SlowSender when the input ended early or ctx ended, and errors of put.
func (p *packer) pack(ctx context.Context, input io.Reader) (packed, error) {
	p.contentHash = sha256.New()
	r := bufio.NewReaderSize(input, readBufferBytes)
	for {
		line, complete, err := p.readLine(r)
		if err != nil && !errors.Is(err, io.EOF) {
			return packed{}, code.Wrap(code.SlowSender, err, "the input ended early after line %d", p.lineNumber)
		}
		if ctx.Err() != nil {
			return packed{}, code.Wrap(code.SlowSender, ctx.Err(), "the input was given up at line %d", p.lineNumber)
		}
		last := err != nil
		if len(line) > 0 || !last {
			p.lineNumber++
		}
		if trimmed := bytes.TrimSpace(line); len(trimmed) > 0 {
			if err := p.add(ctx, trimmed, complete); err != nil {
				return packed{}, err
			}
		}
		if last {
			return p.finish(ctx)
		}
	}
}

// readLine returns the next line and whether it is complete. A line longer than
// maxLineBytes is truncated.
func (p *packer) readLine(r *bufio.Reader) (line []byte, complete bool, err error) {
	complete = true
	for {
		fragment, err := r.ReadSlice('\n')
		p.contentHash.Write(fragment)
		if free := p.maxLineBytes + 1 - len(line); len(fragment) > free {
			fragment, complete = fragment[:free], false
		}
		line = append(line, fragment...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, complete, err
		}
	}
}

// add checks a line and appends its item. Once the job is certain to be rejected,
// lines are only checked.
func (p *packer) add(ctx context.Context, line []byte, complete bool) error {
	customID, err := "", error(code.New(code.ItemInvalid, "over %d bytes", p.maxLineBytes))
	if complete {
		customID, err = p.check(line)
	}
	if err != nil {
		line = p.recordInvalid(customID, err)
	}
	p.items++
	if p.items > p.maxItems {
		return code.New(code.TooManyItems, "the job has more than %d items", p.maxItems)
	}
	if p.put == nil || p.invalidCount > 0 && p.onInvalid == Refuse {
		return nil
	}
	return p.appendLine(ctx, line)
}

// recordInvalid records an invalid line and returns the line to store in its
// place.
func (p *packer) recordInvalid(customID string, err error) []byte {
	reason := "line " + strconv.Itoa(p.lineNumber) + ": " + code.From(err).Message
	p.invalidCount++
	if len(p.invalidLines) < maxReportedLines {
		p.invalidLines = append(p.invalidLines, reason)
	}
	return encode(itemLine{CustomID: customID, Invalid: reason})
}

// appendLine appends a line to the current segment. It starts a new segment if
// the current one is full.
func (p *packer) appendLine(ctx context.Context, line []byte) error {
	full := p.current.Items == maxSegmentItems || int(p.current.Length)+len(line) >= maxSegmentBytes
	if p.current.Items > 0 && full {
		if err := p.closeSegment(ctx); err != nil {
			return err
		}
	}
	if p.current.Items == 0 {
		p.current = manifestEntry{Object: uint32(p.objects), Offset: uint32(len(p.object)), First: uint32(p.items - 1)}
	}
	p.object = append(append(p.object, line...), '\n')
	p.current.Length += uint32(len(line) + 1)
	p.current.Items++
	return nil
}

// closeSegment ends the current segment, and the current object if the next
// segment may not fit into it.
func (p *packer) closeSegment(ctx context.Context) error {
	p.manifest = appendEntry(p.manifest, p.current)
	p.segments++
	p.current = manifestEntry{}
	if len(p.object)+maxSegmentBytes < maxObjectBytes {
		return nil
	}
	return p.closeObject(ctx)
}

func (p *packer) closeObject(ctx context.Context) error {
	if err := p.put(ctx, p.objects, p.object); err != nil {
		return err
	}
	p.objects++
	p.object = p.object[:0]
	return nil
}

// finish stores the last object, which ends with the manifest.
func (p *packer) finish(ctx context.Context) (packed, error) {
	if p.invalidCount > 0 && p.onInvalid == Refuse {
		return packed{}, p.invalidLinesError()
	}
	if p.items == 0 {
		return packed{}, code.New(code.ItemInvalid, "the input has no items")
	}
	result := packed{contentHash: hex.EncodeToString(p.contentHash.Sum(nil)), items: p.items}
	if p.put == nil {
		return result, nil
	}
	if p.current.Items > 0 {
		p.manifest = appendEntry(p.manifest, p.current)
		p.segments++
	}
	result.manifestOffset = int64(len(p.object))
	p.object = append(p.object, p.manifest...)
	if err := p.closeObject(ctx); err != nil {
		return packed{}, err
	}
	result.segments = p.segments
	result.objects = p.objects
	return result, nil
}

// invalidLinesError returns the error that names the invalid lines.
func (p *packer) invalidLinesError() error {
	more := ""
	if n := p.invalidCount - len(p.invalidLines); n > 0 {
		more = "; and " + strconv.Itoa(n) + " more"
	}
	return code.New(code.ItemInvalid, "%d broken lines: %s%s", p.invalidCount, strings.Join(p.invalidLines, "; "), more)
}
