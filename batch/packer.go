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

// Bounds of packed input.
const (
	segmentItems     = 500
	segmentBytes     = 1 << 20
	objectBytes      = 4 << 20
	defaultLineBytes = 1 << 20
	readerBytes      = 64 << 10
	// maxNamedLines bounds the lines that a refusal names.
	maxNamedLines = 20
)

// packer splits JSONL into segments and packs them into objects. It holds one
// object in memory. An item's number is the number of items before it.
type packer struct {
	put      func(ctx context.Context, n int, body []byte) error
	check    func(line []byte) (customID string, err error)
	lineMax  int
	itemMax  int
	onBroken OnInvalid

	sum      hash.Hash
	object   []byte
	objects  int
	manifest []byte
	current  entry
	segments int
	items    int
	line     int
	broken   []string
	nBroken  int
}

// packed is the outcome of packing.
type packed struct {
	content  string
	items    int
	segments int
	objects  int
	manifest int64
}

// pack reads the input to its end. Blank lines hold no item.
func (p *packer) pack(ctx context.Context, input io.Reader) (packed, error) {
	p.sum = sha256.New()
	r := bufio.NewReaderSize(input, readerBytes)
	for {
		line, whole, err := p.readLine(r)
		if err != nil && !errors.Is(err, io.EOF) {
			return packed{}, code.Wrap(code.SlowSender, err, "the input ended early after line %d", p.line)
		}
		if ctx.Err() != nil {
			return packed{}, code.Wrap(code.SlowSender, ctx.Err(), "the input was given up at line %d", p.line)
		}
		last := err != nil
		if len(line) > 0 || !last {
			p.line++
		}
		if trimmed := bytes.TrimSpace(line); len(trimmed) > 0 {
			if err := p.add(ctx, trimmed, whole); err != nil {
				return packed{}, err
			}
		}
		if last {
			return p.finish(ctx)
		}
	}
}

// readLine returns the next line, cut off at lineMax, and whether it is whole.
func (p *packer) readLine(r *bufio.Reader) (line []byte, whole bool, err error) {
	whole = true
	for {
		fragment, err := r.ReadSlice('\n')
		p.sum.Write(fragment)
		if room := p.lineMax + 1 - len(line); len(fragment) > room {
			fragment, whole = fragment[:room], false
		}
		line = append(line, fragment...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, whole, err
		}
	}
}

func (p *packer) add(ctx context.Context, line []byte, whole bool) error {
	customID, err := "", error(code.New(code.ItemInvalid, "over %d bytes", p.lineMax))
	if whole {
		customID, err = p.check(line)
	}
	if err != nil {
		line = p.reject(customID, err)
	}
	p.items++
	if p.items > p.itemMax {
		return code.New(code.TooManyItems, "the job has more than %d items", p.itemMax)
	}
	if p.put == nil || p.nBroken > 0 && p.onBroken == Refuse {
		return nil
	}
	return p.store(ctx, line)
}

// reject notes a broken line and returns what is stored in its place.
func (p *packer) reject(customID string, err error) []byte {
	reason := "line " + strconv.Itoa(p.line) + ": " + code.From(err).Message
	p.nBroken++
	if len(p.broken) < maxNamedLines {
		p.broken = append(p.broken, reason)
	}
	return encode(itemLine{CustomID: customID, Invalid: reason})
}

// store appends a line to the segment in hand.
func (p *packer) store(ctx context.Context, line []byte) error {
	full := p.current.Items == segmentItems || int(p.current.Length)+len(line) >= segmentBytes
	if p.current.Items > 0 && full {
		if err := p.closeSegment(ctx); err != nil {
			return err
		}
	}
	if p.current.Items == 0 {
		p.current = entry{Object: uint32(p.objects), Offset: uint32(len(p.object)), First: uint32(p.items - 1)}
	}
	p.object = append(append(p.object, line...), '\n')
	p.current.Length += uint32(len(line) + 1)
	p.current.Items++
	return nil
}

func (p *packer) closeSegment(ctx context.Context) error {
	p.manifest = appendEntry(p.manifest, p.current)
	p.segments++
	p.current = entry{}
	if len(p.object)+segmentBytes < objectBytes {
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

func (p *packer) finish(ctx context.Context) (packed, error) {
	if p.nBroken > 0 && p.onBroken == Refuse {
		return packed{}, p.refusal()
	}
	if p.items == 0 {
		return packed{}, code.New(code.ItemInvalid, "the input has no items")
	}
	result := packed{content: hex.EncodeToString(p.sum.Sum(nil)), items: p.items}
	if p.put == nil {
		return result, nil
	}
	if p.current.Items > 0 {
		p.manifest = appendEntry(p.manifest, p.current)
		p.segments++
	}
	result.manifest = int64(len(p.object))
	p.object = append(p.object, p.manifest...)
	if err := p.closeObject(ctx); err != nil {
		return packed{}, err
	}
	result.segments = p.segments
	result.objects = p.objects
	return result, nil
}

func (p *packer) refusal() error {
	more := ""
	if n := p.nBroken - len(p.broken); n > 0 {
		more = "; and " + strconv.Itoa(n) + " more"
	}
	return code.New(code.ItemInvalid, "%d broken lines: %s%s", p.nBroken, strings.Join(p.broken, "; "), more)
}
