// Package ownership decides which daemon in a server's zone sends the requests of all daemons to that server. A single
// owner knows the whole load of the server, so it can keep the server's queue short and send requests in the order of
// their ranks, and the server needs connections from few daemons only. The package also ranks daemons
// for a query, which determines those that send its sub-requests.
package ownership
