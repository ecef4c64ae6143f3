// Package acceptance tests the daemon through its HTTP interfaces, with stand-ins for the platform and the backend servers.
// The daemon runs in the test's process or as a process of its own.
package acceptance
