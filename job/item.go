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
	// together, 0 if it is not given.
	Tokens int64
}

// quotaTokens returns the tokens that the item takes of a quota, at least one.
func (it *Item) quotaTokens() int64 { return max(it.Tokens, 1) }

// Result is the listed result of an item. Its position and content never change.
type Result struct {
	Item      string `json:"item"`
	Succeeded bool   `json:"succeeded,omitempty"`
	// Text is the data of all events of the answer in order, separated by line feeds.
	Text string `json:"text,omitempty"`
}

// Bytes returns the size of the texts of the result, the id of its item included.
func (r *Result) Bytes() int { return len(r.Item) + len(r.Text) }
