// Package platform is a stand-in for the users' platform: an HTTP handler that
// offers a transactional table, objects and an instance list out of memory, and
// takes faults on request. Tests, the dev command and cmd/standin run it; it is
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
// Paths of the admin part, which answers also while the store is down:
//
//	GET, PUT /admin/faults     memory.FaultSettings
//	POST     /admin/release    lets held writes take effect
//	PUT      /admin/instances  the instance list
//	GET      /admin/counts     memory.Counts
//
// A failed operation answers with the status of its code and a Failure. A lost
// answer closes the connection without a response.
package platform
