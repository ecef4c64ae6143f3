// Package fleet gets new configuration revisions and installs them, maintains the table of other daemons, and notifies peers
// of new revisions and of leaving backend servers.
//
// An Agent runs a fixed number of goroutines: one for digest exchanges, one for the watch on the store, one for the
// platform's list of daemons, one for its list of leaving servers, one worker that processes offered revisions, and
// a small pool that sends notices.
package fleet
