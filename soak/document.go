package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strings"
	"sync"
	"time"

	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// Names and quota of the generated deployment.
const (
	serviceName = "s"
	// otherServiceName is the service that routes of online requests move to at times.
	otherServiceName = "t"
	hostName         = "h.example"
	modelName        = "m"
	oncePrefix       = "/once/"
	retryPrefix      = "/again/"
	batchPrefix      = "/batch/"
	changePrefix     = "/change/"
	// Paths of online requests may go on with splitPart, which has a route of its own
	// in some documents.
	splitPart = "x/"
	// moreRoutes is the number of additional routes of a large document.
	moreRoutes = 1400
	// quotaTokens is enough for the items of a few jobs.
	quotaTokens = 8_000
	itemTokens  = 500
	// Each part of a prompt has partTokens. There are promptShares different first parts.
	partTokens   = 100
	promptShares = 50
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

// promptHeaders returns the headers of a request for tokens. A few requests share the first
// part of the prompt and the items of a job the second. The last part is the request's own.
func promptHeaders(request string) map[string]string {
	job, _, _ := strings.Cut(request, "i")
	own, shared := hashOf(request), hashOf("of "+job)
	return map[string]string{"X-Model": modelName, "X-Token-Count": fmt.Sprintf("%d,%d", 3*partTokens, eventCount(request)),
		"X-Prompt-Prefix": fmt.Sprintf("a%d:%d,%x:%d,%x:%d", own%promptShares, partTokens, shared, partTokens, own, partTokens)}
}

func hashOf(text string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(text))
	return hash.Sum32()
}

// route is a route of the document.
type route struct {
	Name               string  `json:"name"`
	Host               string  `json:"hostname"`
	Prefix             string  `json:"path_prefix"`
	Kind               string  `json:"kind"`
	Service            string  `json:"service"`
	TimeoutMS          int     `json:"timeout_ms"`
	TargetLatencyMS    int     `json:"target_latency_ms"`
	MaxAttempts        int     `json:"max_attempts"`
	Resumable          bool    `json:"resumable,omitempty"`
	CompletionTargetMS int     `json:"completion_target_ms,omitempty"`
	KeepSeconds        int     `json:"keep_s,omitempty"`
	MaxCount           int64   `json:"max_count,omitempty"`
	Split              []share `json:"traffic_split,omitempty"`
}

// share is the share of a service in a route.
type share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// documentShape is in what a document differs from the others.
type documentShape struct {
	// changeService is the service of the route that is added, moved and removed during
	// the soak, empty when the document is without that route.
	changeService string
	// onceMoves gives the route of requests that may run once to the other service.
	// againSplits divides the other online route between both. partRoutes adds a route
	// of the other service for paths with splitPart.
	onceMoves, againSplits, partRoutes bool
	// more is the number of additional routes.
	more int
}

// operator writes documents to the store.
type operator struct {
	rows    *memory.Rows
	history *History

	mu            sync.Mutex
	version       int
	accounts      bool
	changeService string
	writes        int
	idleLimit     time.Duration
}

// toggledChangeService returns the service of the changing route in a document that adds
// or removes that route.
func (o *operator) toggledChangeService() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.changeService == "" {
		return serviceName
	}
	return ""
}

// currentIdleLimit returns the idle limit of the newest document.
func (o *operator) currentIdleLimit() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.idleLimit
}

// streamRoute returns a route of online requests.
func streamRoute(name, prefix, service string) route {
	return route{Name: name, Host: hostName, Prefix: prefix, Kind: "streaming", Service: service, TimeoutMS: 8000, TargetLatencyMS: 300, MaxAttempts: 1}
}

// resumableRoute returns a route of online requests that may run again.
func resumableRoute(name, prefix, service string) route {
	r := streamRoute(name, prefix, service)
	r.MaxAttempts, r.Resumable = maxAttempts, true
	return r
}

// routes returns the routes of a document.
func (d documentShape) routes() []route {
	once, again := streamRoute("once", oncePrefix, serviceName), resumableRoute("again", retryPrefix, serviceName)
	if d.onceMoves {
		once.Service = otherServiceName
	}
	if d.againSplits {
		again.Service, again.Split = "", []share{{serviceName, 50}, {otherServiceName, 50}}
	}
	routes := []route{once, again, {Name: "batch", Host: hostName, Prefix: batchPrefix, Kind: "batch", Service: serviceName, TimeoutMS: 15000, TargetLatencyMS: 400,
		MaxAttempts: maxAttempts, CompletionTargetMS: 18000, KeepSeconds: 600, MaxCount: quotaTokens}}
	if d.partRoutes {
		routes = append(routes, streamRoute("once part", oncePrefix+splitPart, otherServiceName), resumableRoute("again part", retryPrefix+splitPart, otherServiceName))
	}
	if d.changeService != "" {
		routes = append(routes, streamRoute("change", changePrefix, d.changeService))
	}
	for n := range d.more {
		routes = append(routes, streamRoute(fmt.Sprintf("more %d", n), fmt.Sprintf("/more/%d/", n), serviceName))
	}
	return routes
}

// write writes a document with a new version and another idle limit to the store.
func (o *operator) write(ctx context.Context, shape documentShape) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version += 3
	idleLimit := idleLimits[o.writes%len(idleLimits)]
	o.writes++
	document := map[string]any{"version": o.version, "routes": shape.routes(),
		"services": []map[string]any{{"name": serviceName, "max_connections": 500}, {"name": otherServiceName, "max_connections": 500}},
		"limits":   map[string]int64{"max_header_bytes": maxHeaderBytes, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": idleLimit.Milliseconds()}}
	if o.accounts {
		document["tenants"] = documentAccounts()
	}
	value, err := json.Marshal(document)
	if err != nil {
		return err
	}
	if err := putRow(ctx, o.rows, "op", "config", string(value)); err != nil {
		return err
	}
	o.idleLimit = idleLimit
	if shape.changeService != o.changeService {
		o.changeService = shape.changeService
		o.history.update(func() {
			o.history.Changes = append(o.history.Changes, Change{Prefix: changePrefix, Service: shape.changeService, AcknowledgedAt: time.Now()})
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
