// Package ownership decides which daemon of a server's zone sends the requests of all daemons to that server. One
// owner sees all of a server's load, so that it can keep the server's own queue short and serve ranks by urgency, and a
// server needs connections from few daemons.
package ownership
