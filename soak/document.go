package soak

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// Names and quota of the generated deployment.
const (
	serviceName  = "s"
	hostName     = "h.example"
	modelName    = "m"
	oncePrefix   = "/once/"
	retryPrefix  = "/again/"
	batchPrefix  = "/batch/"
	changePrefix = "/change/"
	// quotaTokens is enough for the items of a few jobs.
	quotaTokens = 8_000
	itemTokens  = 500
	// maxHeaderBytes and maxBodyBytes are limits of the document.
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 256 << 10
	// largeBodyPrefix begins the ids of requests whose bodies have maxBodyBytes.
	largeBodyPrefix = "l"
)

// idleLimits are the idle limits of consecutive documents.
var idleLimits = []time.Duration{3 * time.Second, time.Second, 2 * time.Second, 15 * time.Second, 1500 * time.Millisecond}

// requestBody returns the body of a request, which is derived from its id.
func requestBody(request string) string {
	body := "body of " + request
	if strings.HasPrefix(request, largeBodyPrefix) {
		body += strings.Repeat(".", maxBodyBytes-len(body))
	}
	return body
}

// route is a route of the document.
type route struct {
	Name               string `json:"name"`
	Host               string `json:"hostname"`
	Prefix             string `json:"path_prefix"`
	Kind               string `json:"kind"`
	Service            string `json:"service"`
	TimeoutMS          int    `json:"timeout_ms"`
	TargetLatencyMS    int    `json:"target_latency_ms"`
	MaxAttempts        int    `json:"max_attempts"`
	Resumable          bool   `json:"resumable,omitempty"`
	CompletionTargetMS int    `json:"completion_target_ms,omitempty"`
	KeepSeconds        int    `json:"keep_s,omitempty"`
	MaxCount           int64  `json:"max_count,omitempty"`
}

// operator writes documents to the store.
type operator struct {
	rows    *memory.Rows
	history *History

	mu             sync.Mutex
	version        int
	hasChangeRoute bool
	writes         int
	idleLimit      time.Duration
}

// currentIdleLimit returns the idle limit of the newest document.
func (o *operator) currentIdleLimit() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.idleLimit
}

// write writes a document with a new version and another idle limit to the store.
// withChangeRoute adds the route that is added and removed during the soak.
func (o *operator) write(ctx context.Context, withChangeRoute bool) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	routes := []route{
		{Name: "once", Host: hostName, Prefix: oncePrefix, Kind: "streaming", Service: serviceName, TimeoutMS: 8000, TargetLatencyMS: 300, MaxAttempts: 1},
		{Name: "again", Host: hostName, Prefix: retryPrefix, Kind: "streaming", Service: serviceName, TimeoutMS: 8000, TargetLatencyMS: 300, MaxAttempts: maxAttempts, Resumable: true},
		{Name: "batch", Host: hostName, Prefix: batchPrefix, Kind: "batch", Service: serviceName, TimeoutMS: 15000, TargetLatencyMS: 400, MaxAttempts: maxAttempts,
			CompletionTargetMS: 18000, KeepSeconds: 600, MaxCount: quotaTokens},
	}
	if withChangeRoute {
		routes = append(routes, route{Name: "change", Host: hostName, Prefix: changePrefix, Kind: "streaming", Service: serviceName, TimeoutMS: 8000, TargetLatencyMS: 300, MaxAttempts: 1})
	}
	o.version += 3
	idleLimit := idleLimits[o.writes%len(idleLimits)]
	o.writes++
	value, err := json.Marshal(map[string]any{"version": o.version, "routes": routes, "services": []map[string]any{{"name": serviceName, "max_connections": 500}},
		"limits": map[string]int64{"max_header_bytes": maxHeaderBytes, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": idleLimit.Milliseconds()}})
	if err != nil {
		return err
	}
	if err := putRow(ctx, o.rows, "op", "config", string(value)); err != nil {
		return err
	}
	o.idleLimit = idleLimit
	if withChangeRoute != o.hasChangeRoute {
		o.hasChangeRoute = withChangeRoute
		o.history.update(func() {
			o.history.Changes = append(o.history.Changes, Change{Prefix: changePrefix, Added: withChangeRoute, AcknowledgedAt: time.Now()})
		})
	}
	return nil
}

func putRow(ctx context.Context, rows *memory.Rows, table, key, value string) error {
	row := storage.TableRow{RowKey: storage.RowKey{Table: table, Key: key}, Value: []byte(value)}
	_, err := rows.ApplyRows(ctx, storage.RowTransaction{Puts: []storage.TableRow{row}})
	return err
}

func removeRow(ctx context.Context, rows *memory.Rows, table, key string) error {
	_, err := rows.ApplyRows(ctx, storage.RowTransaction{Removes: []storage.RowKey{{Table: table, Key: key}}})
	return err
}
