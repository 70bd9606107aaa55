package batch

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/retry"
	"github.com/daisylb/daisylb/storage"
)

// Store is the platform's store as this package uses it.
type Store interface {
	storage.Table
	storage.Objects
}

// ServiceOptions configure a Service. Store and Document are required.
type ServiceOptions struct {
	// Store keeps jobs and results.
	Store Store
	// Document returns the configuration in force, or nil when there is none.
	Document func() *contract.Document
	// Notify is called after a job was accepted or cancelled, to notify the
	// runners of all instances. It must not block. Nil means that nobody is notified.
	Notify func(Hint)
	// MaxUploads is the maximum number of submissions that are read at once; each
	// takes up to 5 MiB of memory. 0 means 4.
	MaxUploads int
	// Retention is how long a job can be read after its submission, at least 1 h; 0
	// means 28 days.
	Retention time.Duration
	Logger    *zap.Logger
	Metrics   prometheus.Registerer
}

// Defaults and limits of ServiceOptions. uploadTimeout is the timeout of a
// submission.
const (
	defaultMaxUploads = 4
	defaultRetention  = 28 * 24 * time.Hour
	minRetention      = time.Hour
	uploadTimeout     = time.Hour
)

// assumedItemRate is the rate in items per second from which the latest start of
// a job is computed for the index of open jobs.
const assumedItemRate = 50.0

// storeBackoff is the backoff of retries of operations on the store.
var storeBackoff = retry.Backoff{Min: 200 * time.Millisecond, Max: 5 * time.Second}

// maxStoreAttempts is the maximum number of attempts of an operation on the
// store.
const maxStoreAttempts = 5

// Service accepts, reports and cancels jobs. It is safe for concurrent use. Its
// only state is the number of submissions being read.
type Service struct {
	store *meteredStore
	opts  ServiceOptions
	log   *zap.Logger

	mu sync.Mutex
	// accountUploads has the numbers of submissions being read, by account;
	// uploadCount is their sum.
	accountUploads map[string]int
	uploadCount    int
}

// NewService returns a Service. It fails with code.InvalidSettings if an option is
// missing or out of range, and with code.Internal if the metrics cannot be
// registered.
func NewService(o ServiceOptions) (*Service, error) {
	if o.Store == nil || o.Document == nil {
		return nil, code.New(code.InvalidSettings, "batch: Store and Document are required")
	}
	if o.MaxUploads == 0 {
		o.MaxUploads = defaultMaxUploads
	}
	if o.Retention == 0 {
		o.Retention = defaultRetention
	}
	if o.MaxUploads < 0 || o.Retention < minRetention {
		return nil, code.New(code.InvalidSettings, "batch: MaxUploads %d or Retention %v is out of range", o.MaxUploads, o.Retention)
	}
	if o.Notify == nil {
		o.Notify = func(Hint) {}
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	store, err := newMeteredStore(o.Store, "service", 0, o.Metrics)
	if err != nil {
		return nil, err
	}
	return &Service{store: store, opts: o, accountUploads: map[string]int{}, log: o.Logger}, nil
}

// Submit accepts a job. If the account has submitted the same content with the
// same key before, Submit returns that job; if the content is different, the
// error is code.JobKeyConflict. An empty key creates a new job on every call.
// After code.StoreUnknown the job may exist, and resending it with the same key
// returns it or creates it.
//
// Errors: code.ItemInvalid, code.TooManyItems, code.InvalidDeadline,
// code.InvalidField, code.NoConfiguration, code.Overloaded, code.AccountLimit,
// code.SlowSender, code.NotFound for a missing input object, and errors of the
// store.
func (s *Service) Submit(ctx context.Context, account, key string, r Request) (Job, error) {
	r.Settings = r.Settings.withDefaults()
	if err := r.Settings.check(); err != nil {
		return Job{}, err
	}
	doc := s.opts.Document()
	if doc == nil {
		return Job{}, code.New(code.NoConfiguration, "the instance has no configuration yet")
	}
	if err := s.admitUpload(account); err != nil {
		return Job{}, err
	}
	defer s.releaseUpload(account)
	ctx, cancel := context.WithTimeout(ctx, uploadTimeout)
	defer cancel()
	input, err := s.openInput(ctx, account, r)
	if err != nil {
		return Job{}, err
	}
	defer input.Close()
	u := &upload{service: s, doc: doc, account: account, key: key, settings: r.Settings, startedAt: time.Now()}
	job, err := u.run(ctx, input)
	if err != nil {
		return Job{}, err
	}
	s.opts.Notify(Hint{Job: job.ID})
	return job, nil
}

// admitUpload counts a submission against MaxUploads. An account may have at most
// half of them, so that slow senders of one account leave capacity for others.
// Errors: code.AccountLimit and code.Overloaded.
func (s *Service) admitUpload(account string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.accountUploads[account]; n >= max(s.opts.MaxUploads/2, 1) {
		return code.New(code.AccountLimit, "%d submissions of the account are being read", n).WithRetryAfter(time.Second)
	}
	if s.uploadCount == s.opts.MaxUploads {
		return code.New(code.Overloaded, "%d submissions are being read", s.uploadCount).WithRetryAfter(time.Second)
	}
	s.accountUploads[account]++
	s.uploadCount++
	return nil
}

func (s *Service) releaseUpload(account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uploadCount--
	if s.accountUploads[account]--; s.accountUploads[account] == 0 {
		delete(s.accountUploads, account)
	}
}

// openInput opens the inline input or the input object of a request.
func (s *Service) openInput(ctx context.Context, account string, r Request) (io.ReadCloser, error) {
	if r.InputObject == "" {
		if r.Input == nil {
			return nil, code.New(code.InvalidField, "the request has no input")
		}
		return io.NopCloser(r.Input), nil
	}
	prefix := CallerInputPrefix(account)
	if len(r.InputObject) <= len(prefix) || r.InputObject[:len(prefix)] != prefix {
		return nil, code.New(code.InvalidField, "input_object must begin with %q", prefix)
	}
	input, err := s.store.Open(ctx, r.InputObject, 0, -1)
	if code.Of(err) == code.StoreNotFound {
		return nil, code.New(code.NotFound, "no object %q", r.InputObject)
	}
	return input, err
}

// upload is a submission being read. id and rowVersion belong to its upload row;
// they are not set if the key was already bound to a job.
type upload struct {
	service    *Service
	doc        *contract.Document
	account    string
	key        string
	settings   Settings
	startedAt  time.Time
	id         string
	rowVersion uint64
}

// run reads the input and returns the job: a new one, or the one that the key is
// bound to already.
func (u *upload) run(ctx context.Context, input io.Reader) (Job, error) {
	boundTo, err := u.boundJob(ctx)
	if err != nil {
		return Job{}, err
	}
	p := &packer{
		check:        u.checkLine,
		maxLineBytes: u.maxLineBytes(),
		maxItems:     u.maxItems(),
		onInvalid:    u.settings.OnInvalid,
	}
	if boundTo == "" {
		if err := u.insertRow(ctx); err != nil {
			return Job{}, err
		}
		p.put = u.putInput
	}
	packed, err := p.pack(ctx, input)
	if err != nil {
		u.abandon(ctx)
		return Job{}, err
	}
	content := packed.contentHash + string(encode(u.settings))
	if boundTo != "" {
		return u.resolveResend(ctx, boundTo, content)
	}
	return u.commit(ctx, packed, content)
}

// boundJob returns the id of the job that the key is bound to, or "".
func (u *upload) boundJob(ctx context.Context) (string, error) {
	if u.key == "" {
		return "", nil
	}
	row, err := u.service.store.get(ctx, idempotencyRowKey(u.account, u.key))
	if err != nil || !row.Exists() {
		return "", err
	}
	ref, err := decode[jobRef](row)
	return ref.Job, err
}

// resolveResend returns the job that the key is bound to if it has this content,
// and else code.JobKeyConflict.
func (u *upload) resolveResend(ctx context.Context, boundTo, content string) (Job, error) {
	if jobID(u.account, u.key, content) != boundTo {
		return Job{}, code.New(code.JobKeyConflict, "key %.100q is bound to job %s with another input", u.key, boundTo)
	}
	return u.service.Status(ctx, u.account, boundTo)
}

func (u *upload) maxLineBytes() int {
	if n := u.doc.Limits.MaxBodyBytes; n > 0 && n < defaultMaxLineBytes {
		return int(n)
	}
	return defaultMaxLineBytes
}

func (u *upload) maxItems() int {
	if n := u.doc.Accounts[u.account].MaxJobItems; n > 0 {
		return n
	}
	if n := u.doc.Limits.MaxJobItems; n > 0 {
		return n
	}
	return defaultMaxJobItems
}

// defaultMaxJobItems is the maximum number of items of a job if the configuration
// has none.
const defaultMaxJobItems = 1_000_000

// checkLine validates a line of the input and returns its custom_id. Errors are
// code.ItemInvalid.
func (u *upload) checkLine(line []byte) (string, error) {
	l, err := parseLine(line)
	if err != nil {
		return "", err
	}
	item, err := l.item()
	if err != nil {
		return l.CustomID, err
	}
	return l.CustomID, item.checkService(u.doc, u.account)
}

// insertRow records the upload before any input object is stored, so that the
// sweeper removes the objects if the submission never ends.
func (u *upload) insertRow(ctx context.Context) error {
	u.id = uuid.NewString()
	row := encode(uploadRow{StartedMillis: u.startedAt.UnixMilli()})
	version, err := u.service.store.insert(ctx, uploadKey(u.id), row)
	u.rowVersion = version
	return err
}

// putInput stores input object n.
func (u *upload) putInput(ctx context.Context, n int, body []byte) error {
	return u.service.store.putObject(ctx, inputObject(u.id, n), body)
}

// abandon removes the input objects at once. If that fails, the sweeper removes
// them later.
func (u *upload) abandon(ctx context.Context) {
	if u.id == "" {
		return
	}
	if err := u.service.store.dropUpload(ctx, u.id); err != nil {
		u.service.log.Info("upload left to the sweeper", zap.String("upload", u.id), zap.Error(err))
	}
}

// commit creates the job in one transaction. If another submission with the same
// key was first, commit removes the input and returns that job.
func (u *upload) commit(ctx context.Context, p packed, content string) (Job, error) {
	row := u.jobRow(p, content)
	_, err := u.service.store.applyOnce(ctx, u.commitTransaction(row), func(ctx context.Context) (bool, error) {
		return u.isCommitted(ctx, row.ID)
	})
	if err == nil {
		u.service.log.Info("job accepted", zap.String("job", row.ID), zap.Int("items", p.items), zap.Int("segments", p.segments))
		return row.Job, nil
	}
	if code.Of(err) != code.StoreConflict {
		return Job{}, err
	}
	u.abandon(ctx)
	boundTo, err := u.boundJob(ctx)
	if err != nil {
		return Job{}, err
	}
	if boundTo == "" {
		return Job{}, code.New(code.StoreUnavailable, "the submission was given up after %v", uploadTimeout)
	}
	return u.resolveResend(ctx, boundTo, content)
}

// isCommitted reports whether the job exists and came from this upload.
func (u *upload) isCommitted(ctx context.Context, id string) (bool, error) {
	found, err := u.service.store.get(ctx, jobKey(id))
	if err != nil || !found.Exists() {
		return false, err
	}
	row, err := decode[jobRow](found)
	return row.Upload == u.id, err
}

// jobRow returns the first row of the job.
func (u *upload) jobRow(p packed, content string) jobRow {
	id := jobID(u.account, jobRow{Job: Job{Key: u.key}, Upload: u.id}.idempotencyKey(), content)
	createdAt := u.startedAt.UTC().Truncate(time.Millisecond)
	deadline := createdAt.Add(u.settings.Deadline)
	runTime := time.Duration(float64(p.items) / assumedItemRate * float64(time.Second))
	return jobRow{
		Job: Job{
			ID: id, Key: u.key, State: StateOpen, CreatedAt: createdAt, Deadline: deadline,
			OnInvalid: u.settings.OnInvalid, Counts: Counts{Total: p.items},
		},
		Account: u.account, Content: content, Upload: u.id,
		Objects: p.objects, ManifestOffset: p.manifestOffset, Segments: p.segments,
		OpenKey: openKey(deadline.Add(-runTime), id), ConfigVersion: u.doc.Version,
	}
}

// commitTransaction returns the transaction that creates the job and deletes the
// upload row. It conflicts if the key is bound to a job or the upload was dropped.
func (u *upload) commitTransaction(row jobRow) storage.Transaction {
	open := openRow{Items: row.Counts.Total, Segments: row.Segments, DeadlineMillis: row.Deadline.UnixMilli()}
	key := idempotencyRowKey(u.account, row.idempotencyKey())
	return storage.Transaction{
		Conditions: []storage.Condition{
			{Key: jobKey(row.ID)},
			{Key: key},
			{Key: uploadKey(u.id), Version: u.rowVersion},
		},
		Writes: append(row.writes(),
			storage.Write{Key: key, Value: encode(jobRef{Job: row.ID})},
			storage.Write{Key: uploadKey(u.id), Delete: true},
			storage.Write{Key: row.OpenKey, Value: encode(open)},
			storage.Write{Key: expiryKey(row.CreatedAt.Add(u.service.opts.Retention), row.ID), Value: encode(expiryRow{Job: row.ID, Upload: u.id})},
		),
	}
}
