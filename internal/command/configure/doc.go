// Package configure changes the configuration: it writes the parts that the head does not reference, the record of the
// new root, and then the head by compare-and-swap. It resolves lost replies by reading the store.
package configure
