// Package limit decides how many attempts a daemon may have in flight at a backend server, and how many connections it may
// open to it.
package limit
