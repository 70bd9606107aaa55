package job

// Item is one request of a job.
type Item struct {
	ID string
	// Path is the request target at the upstream.
	Path string
	// Header is the text of the headers, which Options.Describe reads. It is several times
	// smaller than an http.Header.
	Header []byte
	Body   []byte
	// Tokens is the number of tokens of the prompt and of the longest output
	// together.
	Tokens int64
}

// Result is the listed result of an item. Its position and content never change.
type Result struct {
	Item      string `json:"item"`
	Succeeded bool   `json:"succeeded,omitempty"`
	// Text is the data of all events of the answer in order, separated by line feeds.
	Text string `json:"text,omitempty"`
}
