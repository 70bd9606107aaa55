// Package link provides the connections between daisylb instances: HTTP clients with
// timeouts and limits, authentication by peer key, numbered errors over connect-go,
// and TLS certificates that are reloaded from files. Packages with services for peers
// build their clients and handlers with it. It depends on none of these services and
// not on the membership.
package link
