// Package fleet brings new revisions to this daemon and puts them in force, keeps the table of other daemons, and
// spreads the news of revisions and of leaving backend servers.
//
// An Agent runs a fixed number of goroutines: one for digest exchanges, one for the watch on the store, one for the
// platform's list of daemons, one for its list of leaving servers, one worker that takes offered revisions in turn, and
// a small pool that sends notices.
package fleet
