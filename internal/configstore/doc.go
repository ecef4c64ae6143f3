// Package configstore reads the configuration from the platform's store: the head, the chain of records that is the audit
// trail, and the parts of a revision. Root and Load check values against their hashes; LoadValues leaves that to the caller.
// Reads that fail or return stale answers are repeated a bounded number of times. Commands and queries share the package; it
// writes nothing.
package configstore
