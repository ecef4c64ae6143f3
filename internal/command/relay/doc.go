// Package relay forwards non-idempotent requests of routes to servers. A request is sent to one server, and to another one only
// if the first provably did not run it. If that cannot be proved, the outcome is unknown and the request is never sent again. A
// request needs no claim in the store, since a caller's attempt has an id of its own and reaches one daemon only.
package relay
