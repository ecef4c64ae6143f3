// Package configstore reads the configuration from the platform's store: the head, the chain of roots that is the audit
// trail, and the parts of a revision. Values are checked against their hashes, and reads that fail or are stale are
// repeated within bounds. Commands and queries share it; it writes nothing.
package configstore
