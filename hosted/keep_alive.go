package hosted

import (
	"net/http"
	"strconv"
	"time"
)

// keepAlive returns the Keep-Alive header of an answer, "" if the connection is not to be
// used again. The announced time ends before the idle limit, since a request must arrive
// before this side closes the connection.
func (c *callerConn) keepAlive() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announcedLimit = c.connections.limit()
	seconds := int(c.announcedLimit/time.Second) - 1
	if seconds <= 0 {
		return ""
	}
	return "timeout=" + strconv.Itoa(seconds)
}

// closingWriter writes an answer that closes its connection if callers are to leave when
// the answer begins, and says for how long the connection may be used again otherwise. It
// must not be used concurrently.
type closingWriter struct {
	http.ResponseWriter
	conn  *callerConn
	begun bool
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

func (w *closingWriter) begin() {
	if w.begun {
		return
	}
	w.begun = true
	if w.conn.connections.closeAfterAnswer.Load() {
		w.Header().Set("Connection", "close")
	} else if value := w.conn.keepAlive(); value != "" {
		w.Header().Set("Keep-Alive", value)
	}
}
