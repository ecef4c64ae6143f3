// Package standin is the parent of the stand-ins for the platform and for backend servers. Tests, the quickstart and
// the measurement driver use them; daemons meet them only over HTTP. The package itself holds the lock order that the
// stand-ins share.
package standin
