// Package config keeps the versioned configuration of the whole system and
// brings every accepted change to every instance. Operators' requests and the
// peers' exchanges come in; the rest of the daemon reads Store.Current. The
// package never decides what a configuration means to a part.
package config
