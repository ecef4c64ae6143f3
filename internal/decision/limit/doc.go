// Package limit decides how many attempts one daemon may have in flight at one backend server, and how many
// connections it may hold to it.
package limit
