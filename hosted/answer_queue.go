package hosted

import (
	"errors"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/daisylb/daisylb/budget"
)

const (
	// queueShare is the part of the budget, as a divisor, that may wait for one slow reader
	// beside the buffers of its socket. It holds a whole answer of usual size.
	queueShare = 8
	// fullQueueTime is how long a write waits for room. Upstreams end answers that are not
	// read for seconds.
	fullQueueTime = time.Second
	// queueChunkBytes is the least size of a part of the queue.
	queueChunkBytes = 4 << 10
	// queueCloseTime bounds the time for which a closed connection still writes its queue. It
	// is the longest deadline of the users' requests.
	queueCloseTime = 5 * time.Second
)

// answerQueue holds the part of an answer that the caller has not taken. The lock of its
// connection guards it.
type answerQueue struct {
	chunks [][]byte
	// bytes and charged are the length and the size of all chunks, and of the one that is
	// being written.
	bytes   int
	charged int64
	// running is set while a goroutine writes the queue. done is closed when it ends.
	running bool
	done    chan struct{}
	// room receives a value after a part was written.
	room chan struct{}
	err  error
}

// add appends p to the last chunk, and what does not fit there to next.
func (q *answerQueue) add(p, next []byte) {
	q.bytes += len(p)
	if last := len(q.chunks) - 1; last >= 0 {
		n := min(len(p), cap(q.chunks[last])-len(q.chunks[last]))
		q.chunks[last] = append(q.chunks[last], p[:n]...)
		p = p[n:]
	}
	q.charged += int64(cap(next))
	if len(p) > 0 || cap(next) > 0 {
		q.chunks = append(q.chunks, append(next, p...))
	}
}

// spare returns the unused size of the last chunk.
func (q *answerQueue) spare() int {
	if len(q.chunks) == 0 {
		return 0
	}
	last := q.chunks[len(q.chunks)-1]
	return cap(last) - len(last)
}

// writeCharged writes a part of an answer. What the socket does not take at once waits in the
// queue, so that the upstream is read on. Errors: those of earlier parts, budget.ErrGivenUp and
// code.MemoryExhausted.
func (c *callerConn) writeCharged(p []byte) (int, error) {
	if c.holder == nil {
		return c.Conn.Write(p)
	}
	c.mu.Lock()
	running, err := c.queue.running, c.queue.err
	c.mu.Unlock()
	n := 0
	if !running && err == nil {
		n, err = writeNow(c.Conn, p)
		c.holder.Moved(n, time.Now())
	}
	if err != nil || n == len(p) {
		return n, err
	}
	if err := c.enqueue(p[n:]); err != nil {
		return n, err
	}
	return len(p), nil
}

// enqueue adds a part of an answer to the queue once there is room.
func (c *callerConn) enqueue(p []byte) error {
	if err := c.waitForRoom(len(p)); err != nil {
		return err
	}
	c.mu.Lock()
	// The last chunk may be taken while the new one is charged.
	size := 0
	if len(p) > c.queue.spare() {
		size = max(len(p), queueChunkBytes)
	}
	c.mu.Unlock()
	if err := c.holder.Take(int64(size)); err != nil {
		c.giveUpReader("no memory for the answer")
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue.err != nil {
		c.holder.Release(int64(size))
		return c.queue.err
	}
	if size == 0 && len(p) > c.queue.spare() {
		// The chunk has been taken since. A small one is charged without a refusal.
		size = max(len(p), queueChunkBytes)
		c.holder.Add(int64(size))
	}
	c.queue.add(p, make([]byte, 0, size))
	if !c.queue.running {
		c.queue.running, c.queue.done = true, make(chan struct{})
		c.writing = true
		go c.writeQueue(c.queue.done)
	}
	return nil
}

// maxQueuedBytes returns the largest size of the queue.
func (c *callerConn) maxQueuedBytes() int {
	return int(c.connections.budget.Limits().Bytes / queueShare)
}

// waitForRoom waits until n more bytes may be queued, and gives up the reader after
// fullQueueTime.
func (c *callerConn) waitForRoom(n int) error {
	timeout := time.NewTimer(fullQueueTime)
	defer timeout.Stop()
	for {
		c.mu.Lock()
		if c.queue.room == nil {
			c.queue.room = make(chan struct{}, 1)
		}
		full, room, err := c.queue.bytes > 0 && c.queue.bytes+n > c.maxQueuedBytes(), c.queue.room, c.queue.err
		c.mu.Unlock()
		if !full || err != nil {
			return err
		}
		select {
		case <-room:
		case <-timeout.C:
			c.giveUpReader("slow reader with a full queue")
			return budget.ErrGivenUp
		}
	}
}

// giveUpReader ends the connection because its caller does not read.
func (c *callerConn) giveUpReader(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readerGivenUp = true
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.connections.log.Info("caller given up", zap.String("reason", reason), zap.Stringer("caller", c.RemoteAddr()), zap.String("request", c.requestID),
		zap.Int("queued_bytes", c.queue.bytes), zap.Duration("elapsed", time.Since(c.requestAt)))
}

// writeQueue writes the queue until it is empty or a write fails. It resets the connection then,
// so that the caller does not take a part of an answer for all of it.
func (c *callerConn) writeQueue(done chan struct{}) {
	defer close(done)
	for {
		c.mu.Lock()
		if len(c.queue.chunks) == 0 {
			c.queue.running, c.writing = false, false
			c.mu.Unlock()
			return
		}
		chunk := c.queue.chunks[0]
		c.queue.chunks = c.queue.chunks[1:]
		c.mu.Unlock()
		err := c.writeSteps(chunk)
		c.mu.Lock()
		c.removeLocked(chunk)
		if err != nil {
			c.failQueueLocked(err)
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
	}
}

// removeLocked releases a chunk that has been written.
func (c *callerConn) removeLocked(chunk []byte) {
	c.queue.bytes -= len(chunk)
	c.queue.charged -= int64(cap(chunk))
	c.holder.Release(int64(cap(chunk)))
	select {
	case c.queue.room <- struct{}{}:
	default:
	}
}

// failQueueLocked drops the queue after a failed write and resets the connection.
func (c *callerConn) failQueueLocked(err error) {
	c.connections.log.Info("answer not taken by its caller", zap.Stringer("caller", c.RemoteAddr()), zap.Int("queued_bytes", c.queue.bytes), zap.Error(err))
	c.queue.err, c.writeErr = err, err
	for _, chunk := range c.queue.chunks {
		c.removeLocked(chunk)
	}
	c.queue.chunks = nil
	c.queue.running, c.writing = false, false
	_ = setLinger(c.Conn, 0)
	_ = c.Conn.Close()
}

// writeSteps writes p in steps, and records the progress of its reader.
func (c *callerConn) writeSteps(p []byte) error {
	for len(p) > 0 {
		n, err := c.Conn.Write(p[:min(writeStepBytes, len(p))])
		c.holder.Moved(n, time.Now())
		if err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}

// closeAfterQueue closes the connection once its queue has been written, or after
// queueCloseTime.
func (c *callerConn) closeAfterQueue(done chan struct{}, closeConn func() error) {
	timeout := time.NewTimer(queueCloseTime)
	defer timeout.Stop()
	select {
	case <-done:
	case <-timeout.C:
		c.giveUpReader("slow reader of a closed connection")
		<-done
	}
	_ = closeConn()
}

// writeNow writes what a socket takes without waiting. Other connections wait.
func writeNow(conn net.Conn, p []byte) (int, error) {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return conn.Write(p)
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	n, writeErr := 0, error(nil)
	err = raw.Write(func(fd uintptr) bool {
		for n < len(p) && writeErr == nil {
			var written int
			written, writeErr = unix.Write(int(fd), p[n:])
			n += max(written, 0)
			if errors.Is(writeErr, unix.EINTR) {
				writeErr = nil
			}
		}
		return true
	})
	if err == nil && !errors.Is(writeErr, unix.EAGAIN) {
		err = writeErr
	}
	return n, err
}
