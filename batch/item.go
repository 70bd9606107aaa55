package batch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// Paths of items.
const (
	chatPath    = "/v1/chat/completions"
	plainPrefix = "/s/"
)

// maxCustomID is the maximum length of an item's custom_id in bytes.
const maxCustomID = 512

// itemLine is a line of the input, in the format of OpenAI's batch input.
// Invalid is set only in stored input: it is the reason why the line is not a
// valid item and completes as failed.
type itemLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method,omitempty"`
	URL      string          `json:"url,omitempty"`
	Body     json.RawMessage `json:"body,omitempty"`
	Invalid  string          `json:"invalid,omitempty"`
}

// item is a parsed, valid line of the input.
type item struct {
	customID string
	service  string
	// chat is set for a model service.
	chat *contract.ChatRequest
	// method, path and body are set for a plain service.
	method string
	path   string
	body   []byte
}

// parseLine decodes one line of the input. Errors are code.ItemInvalid.
func parseLine(line []byte) (itemLine, error) {
	var l itemLine
	if err := json.Unmarshal(line, &l); err != nil {
		return l, code.New(code.ItemInvalid, "not a JSON object of the expected shape")
	}
	return l, nil
}

// item validates the line and returns its item. Errors are code.ItemInvalid.
func (l itemLine) item() (*item, error) {
	switch {
	case l.Invalid != "":
		return nil, code.New(code.ItemInvalid, "%s", l.Invalid)
	case l.CustomID == "":
		return nil, code.New(code.ItemInvalid, "custom_id is missing")
	case len(l.CustomID) > maxCustomID:
		return nil, code.New(code.ItemInvalid, "custom_id has %d bytes, at most %d are allowed", len(l.CustomID), maxCustomID)
	case l.URL == chatPath:
		return l.chatItem()
	case strings.HasPrefix(l.URL, plainPrefix):
		return l.plainItem()
	default:
		return nil, code.New(code.ItemInvalid, "url %.100q is neither %s nor under %s", l.URL, chatPath, plainPrefix)
	}
}

func (l itemLine) chatItem() (*item, error) {
	if l.Method != http.MethodPost {
		return nil, code.New(code.ItemInvalid, "method %.20q is not POST", l.Method)
	}
	chat := new(contract.ChatRequest)
	if err := chat.UnmarshalJSON(l.Body); err != nil {
		return nil, code.New(code.ItemInvalid, "body: %s", code.From(err).Message)
	}
	chat.Stream = true
	chat.IncludeUsage = true
	return &item{customID: l.CustomID, service: chat.Model, chat: chat}, nil
}

func (l itemLine) plainItem() (*item, error) {
	service, path, _ := strings.Cut(strings.TrimPrefix(l.URL, plainPrefix), "/")
	switch l.Method {
	case http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
	default:
		return nil, code.New(code.ItemInvalid, "method %.20q is not allowed", l.Method)
	}
	if service == "" {
		return nil, code.New(code.ItemInvalid, "url %.100q names no service", l.URL)
	}
	return &item{customID: l.CustomID, service: service, method: l.Method, path: "/" + path, body: l.Body}, nil
}

// checkService checks that the account may use the service of the item. Errors
// are code.ItemInvalid.
func (i *item) checkService(doc *contract.Document, account string) error {
	s, ok := doc.Services[i.service]
	if !ok || !allows(s, account) {
		return code.New(code.ItemInvalid, "no service %.100q exists for the account", i.service)
	}
	if (s.Kind == contract.KindModel) != (i.chat != nil) {
		return code.New(code.ItemInvalid, "service %q is not served under the item's url", i.service)
	}
	return nil
}

// allows reports whether the account may use the service.
func allows(s contract.Service, account string) bool {
	if len(s.Accounts) == 0 {
		return true
	}
	for _, a := range s.Accounts {
		if a == account {
			return true
		}
	}
	return false
}

// ResultLine is a line of the results, in the format of OpenAI's batch output.
// Response is nil when the item completed without an answer of the service.
type ResultLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *ResultResponse `json:"response"`
	Error    *ResultError    `json:"error"`
}

// ResultResponse is the answer of the service.
type ResultResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// ResultError says why an item completed as failed.
type ResultError struct {
	Code    string       `json:"code"`
	Number  code.Number  `json:"number"`
	Message string       `json:"message"`
	Outcome code.Outcome `json:"outcome"`
}

// failed reports whether the item counts as failed.
func (l ResultLine) failed() bool {
	return l.Error != nil || l.Response == nil || l.Response.StatusCode >= http.StatusBadRequest
}

// errorLine returns the result of an item that failed with err.
func errorLine(customID string, err *code.Error) ResultLine {
	return ResultLine{CustomID: customID, Error: &ResultError{
		Code:    code.Describe(err.Number).Name,
		Number:  err.Number,
		Message: err.Message,
		Outcome: err.Outcome,
	}}
}

// answerLine returns the result of an item that a plain service answered.
func answerLine(customID, requestID string, a *contract.PlainAnswer) ResultLine {
	return ResultLine{CustomID: customID, Response: &ResultResponse{
		StatusCode: a.Status,
		RequestID:  requestID,
		Body:       asJSON(a.Body),
	}}
}

// asJSON returns body in compact form if it is valid JSON, and else as a JSON
// string.
func asJSON(body []byte) json.RawMessage {
	var compact bytes.Buffer
	if json.Compact(&compact, body) == nil && compact.Len() > 0 {
		return compact.Bytes()
	}
	quoted, err := json.Marshal(string(body))
	if err != nil {
		return json.RawMessage("null")
	}
	return quoted
}

// resultID returns the id of an item's result: the job's id and the item's
// number.
func resultID(job string, item int) string { return fmt.Sprintf("%s-%d", job, item) }
