package code

import (
	"net/http"
	"sort"
)

// Results of a caller's request.
const (
	Internal             Number = 1000
	MalformedBody        Number = 1001
	BodyTooLarge         Number = 1002
	HeaderTooLarge       Number = 1003
	UnknownService       Number = 1004
	InvalidField         Number = 1005
	InvalidDeadline      Number = 1006
	Unauthenticated      Number = 1007
	Forbidden            Number = 1008
	NotFound             Number = 1009
	MethodNotAllowed     Number = 1010
	SlowSender           Number = 1011
	KeyRequired          Number = 1012
	KeyConflict          Number = 1013
	ResultPending        Number = 1014
	UnsupportedMediaType Number = 1015
)

// Rejections before a request ran.
const (
	Overloaded         Number = 2001
	AccountLimit       Number = 2002
	Draining           Number = 2003
	NoUpstream         Number = 2004
	NoConfiguration    Number = 2005
	ClaimUnavailable   Number = 2006
	DeadlineTooShort   Number = 2007
	MaintenanceRefusal Number = 2008
	PromptQuarantined  Number = 2009
	QuotaUnavailable   Number = 2010
	MemoryExhausted    Number = 2011
)

// Results that upstreams cause.
const (
	UpstreamFailed         Number = 3001
	UpstreamBadAnswer      Number = 3002
	StreamBroken           Number = 3003
	DeadlineExceeded       Number = 3004
	CallerGone             Number = 3005
	OutcomeUnknown         Number = 3006
	UpstreamRefused        Number = 3007
	OrderFenced            Number = 3008
	OrderUnsafe            Number = 3009
	UpstreamAnswerTooLarge Number = 3010
	UpstreamSilent         Number = 3011
	UpstreamHeadTooLarge   Number = 3012
)

// Results of the platform's table and object store.
const (
	StoreUnavailable Number = 4001
	StoreConflict    Number = 4002
	StoreUnknown     Number = 4003
	StoreThrottled   Number = 4004
	StoreNotFound    Number = 4005
	StoreTooLarge    Number = 4006
	StoreHistoryGone Number = 4007
	StoreFull        Number = 4008
)

// Results of settings and configuration changes.
const (
	InvalidSettings  Number = 5001
	VersionConflict  Number = 5002
	UnknownPreset    Number = 5003
	ChangeIDConflict Number = 5004
	VersionGap       Number = 5005
)

// Results of batch jobs and items.
const (
	JobUnknown      Number = 6001
	ItemInvalid     Number = 6002
	JobCancelled    Number = 6003
	JobKeyConflict  Number = 6004
	TooManyItems    Number = 6005
	AttemptsUsedUp  Number = 6006
	LeaseLost       Number = 6007
	ResultsNotReady Number = 6008
	QuotaExceeded   Number = 6009
)

// Results between peers.
const (
	PeerUnauthenticated Number = 7001
	PeerUnreachable     Number = 7002
	StaleToken          Number = 7003
)

// Description is a row of the table of results, which docs/ERRORS.md shows.
type Description struct {
	Number Number
	// Name is a short lower-case identifier, the "code" of an OpenAI error.
	Name string
	// Status is the HTTP status that carries the result.
	Status int
	// Outcome tells whether the request may have run.
	Outcome Outcome
	// Meaning tells what happened.
	Meaning string
	// Action tells what the receiver can do.
	Action string
}

// table holds all results. It is filled by init and not changed afterwards.
var table = map[Number]Description{}

// register adds a row to the table.
func register(n Number, name string, status int, o Outcome, meaning, action string) {
	table[n] = Description{n, name, status, o, meaning, action}
}

func init() {
	registerCaller()
	registerRejections()
	registerUpstream()
	registerStore()
	registerConfig()
	registerBatch()
	registerPeers()
}

func registerCaller() {
	register(Internal, "internal", http.StatusInternalServerError, Unknown, "A fault inside daisylb.", "Report the request id to the operators.")
	register(MalformedBody, "malformed_body", http.StatusBadRequest, NotRun, "The body is not the JSON that the path expects, or its transfer coding is malformed.", "Correct the body.")
	register(BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, NotRun, "The body is over the limit of the service.", "Send a smaller body, or an object reference for batch input.")
	register(HeaderTooLarge, "header_too_large", http.StatusRequestHeaderFieldsTooLarge, NotRun, "A header value is over its limit.", "Shorten the header.")
	register(UnknownService, "unknown_service", http.StatusNotFound, NotRun, "No service of this name exists for the account.", "List services with GET /v1/models.")
	register(InvalidField, "invalid_field", http.StatusBadRequest, NotRun, "A field has a value that is not allowed.", "Correct the field that the message names.")
	register(InvalidDeadline, "invalid_deadline", http.StatusBadRequest, NotRun, "The deadline header is not a number of milliseconds within the allowed range.", "Send a deadline within the range.")
	register(Unauthenticated, "unauthenticated", http.StatusUnauthorized, NotRun, "The key is missing or not accepted.", "Send a valid key.")
	register(Forbidden, "forbidden", http.StatusForbidden, NotRun, "The account may not do this.", "Ask the operators for access.")
	register(NotFound, "not_found", http.StatusNotFound, NotRun, "Nothing exists under this path for the account.", "Check the path and the identifier.")
	register(MethodNotAllowed, "method_not_allowed", http.StatusMethodNotAllowed, NotRun, "The path exists but not with this method.", "Use the method that the Allow header names.")
	register(SlowSender, "slow_sender", http.StatusRequestTimeout, NotRun, "The body did not arrive in time.", "Send the request again.")
	register(KeyRequired, "idempotency_key_required", http.StatusBadRequest, NotRun, "The service is not idempotent and the request has no Idempotency-Key.", "Send a key that is unique to the piece of work.")
	register(KeyConflict, "idempotency_key_conflict", http.StatusConflict, NotRun, "The key was used before with other content.", "Use a new key for new work.")
	register(ResultPending, "result_pending", http.StatusConflict, Unknown, "The request with this key is still running.", "Ask again after the retry hint.")
	register(UnsupportedMediaType, "unsupported_media_type", http.StatusUnsupportedMediaType, NotRun, "The body's content type is not supported by the path.", "Send application/json.")
}

func registerRejections() {
	register(Overloaded, "overloaded", http.StatusTooManyRequests, NotRun, "No upstream has room within the deadline.", "Retry after the hint.")
	register(AccountLimit, "account_limit", http.StatusTooManyRequests, NotRun, "The account is over its share.", "Retry after the hint.")
	register(Draining, "draining", http.StatusServiceUnavailable, NotRun, "The instance is stopping.", "Ask GET /v1/endpoints and retry there.")
	register(NoUpstream, "no_upstream", http.StatusServiceUnavailable, NotRun, "No upstream of the service can take work.", "Retry after the hint.")
	register(NoConfiguration, "no_configuration", http.StatusServiceUnavailable, NotRun, "The instance has no configuration yet.", "Ask GET /v1/endpoints and retry elsewhere.")
	register(ClaimUnavailable, "claim_unavailable", http.StatusServiceUnavailable, NotRun, "The claim that the request needs could not be recorded.", "Retry with the same key.")
	register(DeadlineTooShort, "deadline_too_short", http.StatusServiceUnavailable, NotRun, "The expected time of completion is past the deadline.", "Send a later deadline or retry after the hint.")
	register(MaintenanceRefusal, "maintenance", http.StatusServiceUnavailable, NotRun, "The preset in force does not admit this work.", "Retry when another preset is in force.")
	register(PromptQuarantined, "prompt_quarantined", http.StatusServiceUnavailable, NotRun, "A part of the prompt has crashed upstreams and is kept from them.", "Send the request without that part; the hint tells when the part is tried again.")
	register(QuotaUnavailable, "quota_unavailable", http.StatusServiceUnavailable, NotRun, "No instance that accounts for the quota has answered in time.", "Retry after the hint.")
	register(MemoryExhausted, "memory_exhausted", http.StatusServiceUnavailable, NotRun, "The instance holds as many bytes for callers as its memory allows.", "Retry after the hint at another instance.")
}

func registerUpstream() {
	register(UpstreamFailed, "upstream_failed", http.StatusBadGateway, Unknown, "The upstream failed after it was given the request.", "Retry when the request is idempotent.")
	register(UpstreamBadAnswer, "upstream_bad_answer", http.StatusBadGateway, Unknown, "The upstream's answer could not be understood.", "Retry when the request is idempotent.")
	register(StreamBroken, "stream_broken", http.StatusBadGateway, Unknown, "The stream ended before the answer was whole and could not be resumed.", "Discard the partial answer and retry.")
	register(DeadlineExceeded, "deadline_exceeded", http.StatusGatewayTimeout, Unknown, "The answer was not whole at the deadline.", "Retry with a later deadline.")
	register(CallerGone, "caller_gone", 499, Unknown, "The caller closed the connection.", "None.")
	register(OutcomeUnknown, "outcome_unknown", http.StatusBadGateway, Unknown, "A request that may not be repeated was dispatched and its outcome is not known.", "Check with the service; the request is not run again under this key.")
	register(UpstreamRefused, "upstream_refused", http.StatusServiceUnavailable, NotRun, "Every upstream that was tried refused the request before it ran.", "Retry after the hint.")
	register(OrderFenced, "order_fenced", http.StatusConflict, NotRun, "The upstream refused an order with an old fencing token.", "Another instance owns the upstream; read the state again.")
	register(OrderUnsafe, "order_unsafe", http.StatusServiceUnavailable, NotRun, "The lease has too little time left for an order.", "Retry after the lease is renewed.")
	register(UpstreamAnswerTooLarge, "upstream_answer_too_large", http.StatusBadGateway, Unknown, "The upstream's answer is over the limit.", "Ask for a shorter answer.")
	register(UpstreamSilent, "upstream_silent", http.StatusGatewayTimeout, Unknown, "The upstream sent nothing for longer than a caller waits.", "Retry when the request is idempotent.")
	register(UpstreamHeadTooLarge, "upstream_head_too_large", http.StatusBadGateway, Unknown, "The upstream's status line, headers or interim answers are over the limit.", "Retry when the request is idempotent.")
}

func registerStore() {
	register(StoreUnavailable, "store_unavailable", http.StatusServiceUnavailable, NotRun, "The platform's store did not take the operation.", "Retry after the hint.")
	register(StoreConflict, "store_conflict", http.StatusConflict, NotRun, "A condition of the transaction did not hold.", "Read again and decide anew.")
	register(StoreUnknown, "store_unknown", http.StatusServiceUnavailable, Unknown, "The answer of the platform's store was lost; the operation may have taken effect.", "Read back before acting.")
	register(StoreThrottled, "store_throttled", http.StatusServiceUnavailable, NotRun, "The instance's share of the store's rate is used up.", "Retry after the hint.")
	register(StoreNotFound, "store_not_found", http.StatusNotFound, NotRun, "The object does not exist.", "Check the reference.")
	register(StoreTooLarge, "store_too_large", http.StatusRequestEntityTooLarge, NotRun, "A value or transaction is over the store's limit.", "Split the operation.")
	register(StoreHistoryGone, "store_history_gone", http.StatusGone, NotRun, "The store no longer has the changes after the version asked for.", "Read the table anew and follow it from there.")
	register(StoreFull, "store_full", http.StatusServiceUnavailable, NotRun, "The platform's store has no room left.", "Retry after the hint. The operator makes room, or waits until old jobs are removed.")
}

func registerConfig() {
	register(InvalidSettings, "invalid_settings", http.StatusBadRequest, NotRun, "The settings have faults; all are listed.", "Correct the listed faults.")
	register(VersionConflict, "version_conflict", http.StatusConflict, NotRun, "Another change was accepted first.", "Read the current version and apply again.")
	register(UnknownPreset, "unknown_preset", http.StatusNotFound, NotRun, "No preset of this name exists.", "List presets.")
	register(ChangeIDConflict, "change_id_conflict", http.StatusConflict, NotRun, "The change id was used before with other content.", "Use a new change id.")
	register(VersionGap, "version_gap", http.StatusConflict, NotRun, "A change does not follow the version in force.", "Fetch the missing changes.")
}

func registerBatch() {
	register(JobUnknown, "job_unknown", http.StatusNotFound, NotRun, "The account has no job of this id.", "Check the id.")
	register(ItemInvalid, "item_invalid", http.StatusBadRequest, NotRun, "A line of the input is not a valid item.", "Correct the lines that the message numbers.")
	register(JobCancelled, "job_cancelled", http.StatusConflict, NotRun, "The job is cancelled.", "Submit a new job.")
	register(JobKeyConflict, "job_key_conflict", http.StatusConflict, NotRun, "The key was used before with another input.", "Use a new key for a new job.")
	register(TooManyItems, "too_many_items", http.StatusRequestEntityTooLarge, NotRun, "The job has more items than allowed.", "Split the job.")
	register(AttemptsUsedUp, "attempts_used_up", http.StatusOK, Unknown, "The item failed on every allowed attempt and is complete as failed.", "Correct the item and submit it in a new job.")
	register(LeaseLost, "lease_lost", http.StatusConflict, Unknown, "The holder's lease lapsed or passed to another.", "None; the next holder runs the items again.")
	register(ResultsNotReady, "results_not_ready", http.StatusConflict, NotRun, "No result of the requested range is committed yet.", "Ask again later.")
	register(QuotaExceeded, "quota_exceeded", http.StatusTooManyRequests, NotRun, "The job's tokens do not fit beside those that wait on the route.", "Submit the job again after the hint.")
}

func registerPeers() {
	register(PeerUnauthenticated, "peer_unauthenticated", http.StatusUnauthorized, NotRun, "The peer or operator key is missing or not accepted.", "Check the settings of both sides.")
	register(PeerUnreachable, "peer_unreachable", http.StatusBadGateway, Unknown, "A peer did not answer.", "Retry elsewhere.")
	register(StaleToken, "stale_token", http.StatusConflict, NotRun, "A fencing token is older than one already seen.", "Stop; another holder has taken over.")
}

// Describe returns the row of n. An unregistered number gets the row of
// Internal with its own number.
func Describe(n Number) Description {
	if d, ok := table[n]; ok {
		return d
	}
	d := table[Internal]
	d.Number = n
	return d
}

// All returns the rows of the table, sorted by number.
func All() []Description {
	rows := make([]Description, 0, len(table))
	for _, d := range table {
		rows = append(rows, d)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Number < rows[j].Number })
	return rows
}
