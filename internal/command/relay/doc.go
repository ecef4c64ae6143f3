// Package relay passes non-idempotent requests of routes on. A request is sent to one server, and to another one only after a
// proof that the first did not run it; what cannot be proved is answered as unknown and never repeated. The request needs no
// claim in the store, since a caller's attempt has an id of its own and reaches one daemon.
package relay
