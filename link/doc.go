// Package link holds the connections between daisylb's own processes: HTTP
// clients with bounded connections and timeouts, the check of the peer key,
// numbered errors over connect-go, and TLS certificates that are reloaded from
// files. The packages with peer services build their clients and handlers with
// it. It knows no service and keeps no membership.
package link
