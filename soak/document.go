package soak

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// Names of the deployment that the soak makes up.
const (
	serviceName  = "s"
	hostName     = "h.example"
	modelName    = "m"
	oncePrefix   = "/once/"
	againPrefix  = "/again/"
	batchPrefix  = "/batch/"
	changePrefix = "/change/"
	// quotaTokens is room for the items of a few jobs.
	quotaTokens = 8_000
	itemTokens  = 500
)

// bodyOf is the body of a request, which follows from its id.
func bodyOf(request string) string { return "body of " + request }

type route struct {
	Name        string `json:"name"`
	Host        string `json:"hostname"`
	Prefix      string `json:"path_prefix"`
	Kind        string `json:"kind"`
	Service     string `json:"service"`
	TimeoutMS   int    `json:"timeout_ms"`
	ObjectiveMS int    `json:"target_latency_ms"`
	MaxAttempts int    `json:"max_attempts"`
	Resumable   bool   `json:"resumable,omitempty"`
	DueMS       int    `json:"completion_target_ms,omitempty"`
	KeepS       int    `json:"keep_s,omitempty"`
	MaxCount    int64  `json:"max_count,omitempty"`
}

// operator writes the documents.
type operator struct {
	rows    *memory.Rows
	history *History

	mu      sync.Mutex
	version int
	extra   bool
}

// write puts the document into the store; extra adds the route that changes.
func (o *operator) write(ctx context.Context, extra bool) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	routes := []route{
		{Name: "once", Host: hostName, Prefix: oncePrefix, Kind: "streaming", Service: serviceName, TimeoutMS: 8000, ObjectiveMS: 300, MaxAttempts: 1},
		{Name: "again", Host: hostName, Prefix: againPrefix, Kind: "streaming", Service: serviceName, TimeoutMS: 8000, ObjectiveMS: 300, MaxAttempts: maxAttempts, Resumable: true},
		{Name: "batch", Host: hostName, Prefix: batchPrefix, Kind: "batch", Service: serviceName, TimeoutMS: 15000, ObjectiveMS: 400, MaxAttempts: maxAttempts,
			DueMS: 18000, KeepS: 600, MaxCount: quotaTokens},
	}
	if extra {
		routes = append(routes, route{Name: "change", Host: hostName, Prefix: changePrefix, Kind: "streaming", Service: serviceName, TimeoutMS: 8000, ObjectiveMS: 300, MaxAttempts: 1})
	}
	o.version += 3
	value, err := json.Marshal(map[string]any{"version": o.version, "routes": routes, "services": []map[string]any{{"name": serviceName, "max_connections": 500}},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	if err != nil {
		return err
	}
	if err := put(ctx, o.rows, "op", "config", string(value)); err != nil {
		return err
	}
	if extra != o.extra {
		o.extra = extra
		o.history.record(func() {
			o.history.Changes = append(o.history.Changes, Change{Prefix: changePrefix, Added: extra, At: time.Now()})
		})
	}
	return nil
}

func put(ctx context.Context, rows *memory.Rows, table, key, value string) error {
	row := storage.TableRow{RowKey: storage.RowKey{Table: table, Key: key}, Value: []byte(value)}
	_, err := rows.ApplyRows(ctx, storage.RowTransaction{Puts: []storage.TableRow{row}})
	return err
}

func remove(ctx context.Context, rows *memory.Rows, table, key string) error {
	_, err := rows.ApplyRows(ctx, storage.RowTransaction{Removes: []storage.RowKey{{Table: table, Key: key}}})
	return err
}
