// Package site serves the stand-ins for a whole inventory: the platform, which lists the servers among its instances, and
// each backend server at its address.
package site
