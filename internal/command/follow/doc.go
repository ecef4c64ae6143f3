// Package follow keeps the configuration in force and the known servers up to date with the platform's store. The platform's
// operator writes the configuration there, and servers register themselves. One goroutine reads the store or follows a daemon
// that does, one renews the daemon's own entry, and one builds a Topology from the data and installs it.
package follow
