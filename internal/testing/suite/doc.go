// Package suite runs the ginkgo specs of a package with the setup that all packages share: it enforces the lock order and
// skips the specs that CI has read from KNOWN-RED.txt and passed in an environment variable.
package suite
