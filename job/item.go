package job

import "net/http"

// Item is a request of a job.
type Item struct {
	ID string
	// Path is the target at the upstream.
	Path   string
	Header http.Header
	Body   []byte
	// Tokens of the prompt and the longest output together.
	Tokens int64
}

// Result is a listed item. Its position and content never change.
type Result struct {
	Item      string `json:"item"`
	Succeeded bool   `json:"succeeded,omitempty"`
	// Text is the data of all events in order, separated by line feeds.
	Text string `json:"text,omitempty"`
}
