// Package suite starts a package's ginkgo specs with the checks that all of them share: the lock order is enforced, and
// the specs named in KNOWN-RED.txt are passed over when CI asks for it.
package suite
