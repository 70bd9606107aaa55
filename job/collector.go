package job

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
	"sync"

	"github.com/daisylb/daisylb/contract"
)

// collector gathers the data of an item's events. One goroutine writes it; the text
// and the last event are read under the lock for the rows of progress.
type collector struct {
	mu        sync.Mutex
	text      strings.Builder
	lastEvent string
	// events is the number of events that this process has received.
	events    int
	status    int
	failures  int
	succeeded bool
	// savedBytes is the length of the text that rows of progress hold, savedEvent its
	// last event, savedFailures the failures they hold, and nextRow the number of the
	// next row. unsaved has the ends of the events after savedEvent.
	savedBytes    int
	savedEvent    string
	unsaved       []eventEnd
	savedFailures int
	nextRow       int
	// heldBack is set while the item counts in run.heldBack. Only the goroutine of the item
	// uses it.
	heldBack bool
	// onEvent is called with each event; it may be nil.
	onEvent func()
	// claim is what the item takes of Service.running until its result is listed, textBytes the
	// part of it for the text. grown is what the text takes of Service.texts beyond that.
	service                 *Service
	claim, textBytes, grown int64
	// outgrown is set when the text did not fit into what was left of running.
	outgrown bool
	// restarted is set when the text was discarded. No more progress is written then,
	// since it would not follow the rows that exist.
	restarted bool
}

// maxItemTextBytes bounds the text of an item. A call for results returns at most
// that much for one item.
const maxItemTextBytes = 1 << 20

// errItemTextTooLarge ends an attempt whose text exceeds maxItemTextBytes, errNoRoomForText one
// whose text does not fit into the memory for running items.
var (
	errItemTextTooLarge = errors.New("the item's text is over its limit")
	errNoRoomForText    = errors.New("there is no memory for the item's text")
)

// hold records what the item takes of Service.running, with textBytes for its text.
func (c *collector) hold(s *Service, claim, textBytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.service, c.claim, c.textBytes, c.outgrown = s, claim, textBytes, false
}

// release gives back what the item takes, and its text.
func (c *collector) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.service != nil {
		c.service.running.release(c.claim)
		c.service.texts.release(c.grown)
	}
	c.claim, c.textBytes, c.grown = 0, 0, 0
	c.text.Reset()
}

// hasRoom reports whether there is memory for a text of n bytes, and takes more if need be. The
// lock is held.
func (c *collector) hasRoom(n int) bool {
	more := int64(textCopies*n) - c.textBytes - c.grown
	if c.service == nil || more <= 0 || c.textBytes >= wholeTextBytes {
		return true
	}
	more = c.service.texts.claim(max(more, textClaimStep))
	if !c.service.texts.tryTake(more) {
		return false
	}
	c.grown += more
	return true
}

// hasOutgrown reports whether the last attempt ended because its text had no room.
func (c *collector) hasOutgrown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outgrown
}

// restart discards the text of an item, so that its next attempt starts from the
// beginning.
func (c *collector) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restartLocked()
}

func (c *collector) restartLocked() {
	c.text.Reset()
	c.lastEvent, c.events, c.savedBytes, c.unsaved, c.restarted = "", 0, 0, nil, true
}

// newCollector returns a collector that continues from stored progress.
func newCollector(p itemProgress) *collector {
	c := &collector{restarted: p.discarded, lastEvent: p.lastEvent, savedEvent: p.lastEvent, failures: p.failures, savedFailures: p.failures, nextRow: p.nextRow}
	c.text.WriteString(p.text)
	c.savedBytes = c.text.Len()
	return c
}

var _ contract.ForwardSink = (*collector)(nil)

// Begin implements contract.ForwardSink.
func (c *collector) Begin(status int, _ http.Header) error {
	c.status = status
	return nil
}

var (
	dataField = []byte("data:")
	idField   = []byte("id:")
)

// Write implements contract.ForwardSink.
func (c *collector) Write(event []byte) error {
	if c.onEvent != nil {
		c.onEvent()
	}
	if c.status != http.StatusOK {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.lastEvent
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(line, idField); ok {
			c.lastEvent = string(bytes.TrimSpace(id))
			c.events++
		}
		if data, ok := bytes.CutPrefix(line, dataField); ok {
			if c.text.Len()+len(data) > maxItemTextBytes {
				return errItemTextTooLarge
			}
			if !c.hasRoom(c.text.Len() + len(data)) {
				c.restartLocked()
				c.outgrown = true
				return errNoRoomForText
			}
			if c.text.Len() > 0 {
				c.text.WriteByte('\n')
			}
			c.text.Write(bytes.TrimPrefix(data, []byte(" ")))
		}
	}
	if c.lastEvent != before {
		c.unsaved = append(c.unsaved, eventEnd{c.lastEvent, c.text.Len()})
	}
	return nil
}

// fail counts a failed attempt and returns their number.
func (c *collector) fail() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures++
	return c.failures
}

// result returns the result of the item: its text, or a failure.
func (c *collector) result(item string) Result {
	if !c.succeeded {
		return Result{Item: item}
	}
	return Result{Item: item, Succeeded: true, Text: c.text.String()}
}
