package scenario

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// Keys and ports of every deployment. The ports of instances and engines are followed
// by their number, from 1.
const (
	callerKey    = "scenario-caller-key"
	otherKey     = "scenario-other-key"
	operatorKey  = "scenario-operator-key"
	secondKey    = "scenario-second-operator"
	platformPort = 9100
	enginePort   = 9200
	servicePort  = 9300
	callerPort   = 8100
	peerPort     = 8200
	operatorPort = 8300
	engines      = 3
)

// keyHash returns the hexadecimal SHA-256 sum of a key.
func keyHash(key string) string {
	s := sha256.Sum256([]byte(key))
	return hex.EncodeToString(s[:])
}

// dataCentre returns the data centre of instance or engine i.
func dataCentre(i int) string { return []string{"kochi", "kollam"}[i%2] }

// deploy implements the script command
//
//	deploy N
//
// It writes standin.jsonc, document.jsonc and instance-1.jsonc to instance-N.jsonc, the
// settings of a deployment with N instances.
func (env *environment) deploy(ts *testscript.TestScript, args []string) error {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	files := map[string]string{
		"standin.jsonc":  env.standin(n),
		"document.jsonc": env.document(),
	}
	for i := 1; i <= n; i++ {
		files[fmt.Sprintf("instance-%d.jsonc", i)] = env.instance(i)
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(env.dir, name), []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

func (env *environment) instance(i int) string {
	return fmt.Sprintf(`{
	"id": "instance-%d", "data_centre": %q,
	"callers": {"address": "%s:%d"}, "peers": {"address": "%s:%d"}, "operators": {"address": "%s:%d"},
	"peer_keys": ["scenario-peer-key-1"],
	"operator_keys": [{"name": "ana", "sha256": %q}, {"name": "biju", "sha256": %q}],
	"platform": {"url": "http://%s:%d"},
	"drain": {"margin": "1s"},
	"log": {"level": "debug"},
}`, i, dataCentre(i), env.ip, callerPort+i, env.ip, peerPort+i, env.ip, operatorPort+i, keyHash(operatorKey), keyHash(secondKey), env.ip, platformPort)
}

func (env *environment) standin(n int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"platform": {"address": "%s:%d", "instances": [`, env.ip, platformPort)
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, `{"id": "instance-%d", "data_centre": %q, "caller_address": "%s:%d", "peer_address": "%s:%d"},`, i, dataCentre(i), env.ip, callerPort+i, env.ip, peerPort+i)
	}
	b.WriteString(`]}, "engines": [`)
	for i := 1; i <= engines; i++ {
		fmt.Fprintf(&b, `{"address": "%s:%d", "slots": 16, "step": "5ms", "report_lag": "200ms", "answer_tokens": 2000},`, env.ip, enginePort+i)
	}
	fmt.Fprintf(&b, `], "services": [{"address": "%s:%d"}]}`, env.ip, servicePort)
	return b.String()
}

func (env *environment) document() string {
	var upstreams strings.Builder
	for i := 1; i <= engines; i++ {
		fmt.Fprintf(&upstreams, `"engine-%d": {"address": "%s:%d", "data_centre": %q, "services": ["deskmate"], "slots": 16},`, i, env.ip, enginePort+i, dataCentre(i))
	}
	return fmt.Sprintf(`{
	"preset": "ordinary",
	"presets": {
		"ordinary": {"batch_share": 0.9, "headroom_slots": 2, "admit_online": true, "hedge_share": 0.05},
		"peak": {"batch_share": 0.4, "headroom_slots": 4, "admit_online": true, "hedge_share": 0.05},
		"maintenance": {"batch_share": 1, "headroom_slots": 0, "admit_online": false, "hedge_share": 0},
	},
	"data_centres": {"kochi": {"region": "kerala"}, "kollam": {"region": "kerala"}},
	"services": {
		"deskmate": {"kind": "model", "model": "standin", "idempotent": true},
		"pickups": {"kind": "plain", "idempotent": false},
	},
	"upstreams": {%s "pickups-1": {"address": "%s:%d", "data_centre": "kochi", "services": ["pickups"], "slots": 32}},
	"accounts": {
		"drivers": {"key_sha256": [%q], "weight": 2},
		"others": {"key_sha256": [%q], "weight": 1},
	},
	"limits": {
		"max_body_bytes": 1048576, "default_deadline_ms": 30000, "max_deadline_ms": 600000, "endpoint_ttl_s": 2,
		"max_job_items": 10000, "item_attempts": 3, "max_answer_bytes": 8388608, "retry_share": 0.1,
	},
}`, upstreams.String(), env.ip, servicePort, keyHash(callerKey), keyHash(otherKey))
}
