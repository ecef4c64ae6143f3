// Package configure changes the configuration: it writes the parts that a change needs, a copy of the new root, and
// then the head by compare-and-swap, and resolves lost replies by reading back.
package configure
