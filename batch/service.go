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

// Store is what the package needs of the platform.
type Store interface {
	storage.Table
	storage.Objects
}

// ServiceOptions are the parts of a Service.
type ServiceOptions struct {
	// Store keeps jobs and results.
	Store Store
	// Document returns the configuration in force, or nil when there is none.
	Document func() *contract.Document
	// Announce is called after a job is accepted or cancelled, so that peers can
	// be told at once. It must not block. Nil means no announcement.
	Announce func(Hint)
	// MaxUploads bounds the submissions that are read at once; each holds up to 5
	// MiB. 0 means 4.
	MaxUploads int
	// Retention is how long a job can be read after its submission, 1 h at least;
	// 0 means 28 days.
	Retention time.Duration
	Logger    *zap.Logger
	Metrics   prometheus.Registerer
}

// Defaults of ServiceOptions, and the time that an upload may take.
const (
	defaultUploads   = 4
	defaultRetention = 28 * 24 * time.Hour
	minRetention     = time.Hour
	uploadTime       = time.Hour
)

// Rate that the index of open jobs assumes for a job, in items a second.
const assumedRate = 50.0

// storeBackoff spaces retries towards the store.
var storeBackoff = retry.Backoff{Min: 200 * time.Millisecond, Max: 5 * time.Second}

// storeAttempts bounds the tries of an operation that a caller waits for.
const storeAttempts = 5

// Service accepts, reports and cancels jobs. It is safe for concurrent use and
// keeps no state but the number of submissions under way.
type Service struct {
	store *meteredStore
	opts  ServiceOptions
	log   *zap.Logger

	mu sync.Mutex
	// uploads are the submissions being read by account; reading is their sum.
	uploads map[string]int
	reading int
}

// NewService returns a Service, or an error when an option is missing or out of
// range.
func NewService(o ServiceOptions) (*Service, error) {
	if o.Store == nil || o.Document == nil {
		return nil, code.New(code.InvalidSettings, "batch: Store and Document are required")
	}
	if o.MaxUploads == 0 {
		o.MaxUploads = defaultUploads
	}
	if o.Retention == 0 {
		o.Retention = defaultRetention
	}
	if o.MaxUploads < 0 || o.Retention < minRetention {
		return nil, code.New(code.InvalidSettings, "batch: MaxUploads %d or Retention %v is out of range", o.MaxUploads, o.Retention)
	}
	if o.Announce == nil {
		o.Announce = func(Hint) {}
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	store, err := newMeteredStore(o.Store, "service", 0, o.Metrics)
	if err != nil {
		return nil, err
	}
	return &Service{store: store, opts: o, uploads: map[string]int{}, log: o.Logger}, nil
}

// Submit accepts a job. A job with the same account, key and content as an
// earlier one is that job; with other content the error is
// code.JobKeyConflict. An empty key makes a new job on every call. After
// code.StoreUnknown the job may exist; a resend with the same key finds out.
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
	if err := s.admit(account); err != nil {
		return Job{}, err
	}
	defer s.release(account)
	ctx, cancel := context.WithTimeout(ctx, uploadTime)
	defer cancel()
	input, err := s.open(ctx, account, r)
	if err != nil {
		return Job{}, err
	}
	defer input.Close()
	u := &upload{service: s, doc: doc, account: account, key: key, settings: r.Settings, started: time.Now()}
	job, err := u.run(ctx, input)
	if err != nil {
		return Job{}, err
	}
	s.opts.Announce(Hint{Job: job.ID})
	return job, nil
}

// admit takes a place for a submission. An account has at most half of them, so
// that slow senders of one account leave room for others.
func (s *Service) admit(account string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.uploads[account]; n >= max(s.opts.MaxUploads/2, 1) {
		return code.New(code.AccountLimit, "%d submissions of the account are being read", n).WithRetryAfter(time.Second)
	}
	if s.reading == s.opts.MaxUploads {
		return code.New(code.Overloaded, "%d submissions are being read", s.reading).WithRetryAfter(time.Second)
	}
	s.uploads[account]++
	s.reading++
	return nil
}

func (s *Service) release(account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading--
	if s.uploads[account]--; s.uploads[account] == 0 {
		delete(s.uploads, account)
	}
}

func (s *Service) open(ctx context.Context, account string, r Request) (io.ReadCloser, error) {
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

// upload is one submission under way.
type upload struct {
	service  *Service
	doc      *contract.Document
	account  string
	key      string
	settings Settings
	started  time.Time
	name     string
	version  uint64
}

func (u *upload) run(ctx context.Context, input io.Reader) (Job, error) {
	known, err := u.known(ctx)
	if err != nil {
		return Job{}, err
	}
	p := &packer{
		check:    u.check,
		lineMax:  u.lineMax(),
		itemMax:  u.itemMax(),
		onBroken: u.settings.OnInvalid,
	}
	if known == "" {
		if err := u.begin(ctx); err != nil {
			return Job{}, err
		}
		p.put = u.put
	}
	packed, err := p.pack(ctx, input)
	if err != nil {
		u.abandon(ctx)
		return Job{}, err
	}
	content := packed.content + string(encode(u.settings))
	if known != "" {
		return u.resent(ctx, known, content)
	}
	return u.commit(ctx, packed, content)
}

// known returns the job that the key is bound to, or "".
func (u *upload) known(ctx context.Context) (string, error) {
	if u.key == "" {
		return "", nil
	}
	row, err := u.service.store.get(ctx, keyKey(u.account, u.key))
	if err != nil || !row.Exists() {
		return "", err
	}
	bound, err := decode[keyRow](row)
	return bound.Job, err
}

// resent returns the job that the key is bound to when it has this content.
func (u *upload) resent(ctx context.Context, known, content string) (Job, error) {
	if jobID(u.account, u.key, content) != known {
		return Job{}, code.New(code.JobKeyConflict, "key %.100q is bound to job %s with another input", u.key, known)
	}
	return u.service.Status(ctx, u.account, known)
}

func (u *upload) lineMax() int {
	if n := u.doc.Limits.MaxBodyBytes; n > 0 && n < defaultLineBytes {
		return int(n)
	}
	return defaultLineBytes
}

func (u *upload) itemMax() int {
	if n := u.doc.Accounts[u.account].MaxJobItems; n > 0 {
		return n
	}
	if n := u.doc.Limits.MaxJobItems; n > 0 {
		return n
	}
	return defaultJobItems
}

// defaultJobItems bounds a job when the configuration does not.
const defaultJobItems = 1_000_000

func (u *upload) check(line []byte) (string, error) {
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

// begin announces the input objects, so that they are removed when the
// submission never ends.
func (u *upload) begin(ctx context.Context) error {
	u.name = uuid.NewString()
	row := encode(uploadRow{Started: u.started.UnixMilli()})
	version, err := u.service.store.insert(ctx, uploadKey(u.name), row)
	u.version = version
	return err
}

func (u *upload) put(ctx context.Context, n int, body []byte) error {
	return u.service.store.put(ctx, inputObject(u.name, n), body)
}

// abandon removes the input objects at once. What it misses, the sweeper finds.
func (u *upload) abandon(ctx context.Context) {
	if u.name == "" {
		return
	}
	if err := u.service.store.dropUpload(ctx, u.name); err != nil {
		u.service.log.Info("upload left to the sweeper", zap.String("upload", u.name), zap.Error(err))
	}
}

// commit makes the job visible in one transaction.
func (u *upload) commit(ctx context.Context, p packed, content string) (Job, error) {
	row := u.row(p, content)
	_, err := u.service.store.settle(ctx, u.transaction(row), func(ctx context.Context) (bool, error) {
		return u.exists(ctx, row.ID)
	})
	if err == nil {
		u.service.log.Info("job accepted", zap.String("job", row.ID), zap.Int("items", p.items), zap.Int("segments", p.segments))
		return row.Job, nil
	}
	if code.Of(err) != code.StoreConflict {
		return Job{}, err
	}
	u.abandon(ctx)
	known, err := u.known(ctx)
	if err != nil {
		return Job{}, err
	}
	if known == "" {
		return Job{}, code.New(code.StoreUnavailable, "the submission was given up after %v", uploadTime)
	}
	return u.resent(ctx, known, content)
}

// exists reports whether the job exists and came from this upload.
func (u *upload) exists(ctx context.Context, id string) (bool, error) {
	found, err := u.service.store.get(ctx, jobKey(id))
	if err != nil || !found.Exists() {
		return false, err
	}
	row, err := decode[jobRow](found)
	return row.Upload == u.name, err
}

func (u *upload) row(p packed, content string) jobRow {
	id := jobID(u.account, jobRow{Job: Job{Key: u.key}, Upload: u.name}.boundKey(), content)
	created := u.started.UTC().Truncate(time.Millisecond)
	deadline := created.Add(u.settings.Deadline)
	work := time.Duration(float64(p.items) / assumedRate * float64(time.Second))
	return jobRow{
		Job: Job{
			ID: id, Key: u.key, State: StateOpen, CreatedAt: created, Deadline: deadline,
			OnInvalid: u.settings.OnInvalid, Counts: Counts{Total: p.items},
		},
		Account: u.account, Content: content, Upload: u.name,
		Objects: p.objects, Manifest: p.manifest, Segments: p.segments,
		OpenKey: openKey(deadline.Add(-work), id),
	}
}

func (u *upload) transaction(row jobRow) storage.Transaction {
	open := openRow{Items: row.Counts.Total, Segments: row.Segments, Deadline: row.Deadline.UnixMilli()}
	key := keyKey(u.account, row.boundKey())
	return storage.Transaction{
		Conditions: []storage.Condition{
			{Key: jobKey(row.ID)},
			{Key: key},
			{Key: uploadKey(u.name), Version: u.version},
		},
		Writes: append(row.writes(),
			storage.Write{Key: key, Value: encode(keyRow{Job: row.ID})},
			storage.Write{Key: uploadKey(u.name), Delete: true},
			storage.Write{Key: row.OpenKey, Value: encode(open)},
			storage.Write{Key: expiryKey(row.CreatedAt.Add(u.service.opts.Retention), row.ID), Value: encode(expiryRow{Job: row.ID, Upload: u.name})},
		),
	}
}
