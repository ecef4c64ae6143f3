// Package site serves the stand-ins of a whole inventory: the platform, with the servers on its list of instances, and
// every backend server at its address.
package site
