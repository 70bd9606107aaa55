// Package platform is a stand-in for the users' platform: an HTTP handler that
// serves a transactional table, objects and an instance list from memory, and
// injects faults on request. Tests, the dev command and cmd/standin run it; it is
// not for production use.
//
// Paths of the platform:
//
//	GET    /table/row?key=                    one row as JSON
//	GET    /table/range?start=&end=&limit=    rows as JSON
//	POST   /table/transaction                 a transaction as JSON
//	PUT    /objects/body?key=                 put if absent
//	GET    /objects/body?key=&offset=&length= bytes
//	DELETE /objects/body?key=
//	GET    /objects/stat?key=
//	GET    /objects/list?prefix=&after=&limit=
//	GET    /instances
//
// Paths of the admin interface, which also responds while the store is down:
//
//	GET, PUT /admin/faults     memory.FaultSettings
//	POST     /admin/release    applies held writes
//	PUT      /admin/instances  the instance list
//	GET      /admin/counts     memory.Counts
//
// A failed operation is answered with the HTTP status of its code and a Failure.
// When the response is to be lost, the connection is closed without one.
//
// NewRows returns a second handler, for rows and blobs in the published protocol of
// the users' store.
package platform
