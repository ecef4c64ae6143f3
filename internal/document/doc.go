// Package document decodes and validates the inventory and the rules, imports inventories from CSV, and lists the differences
// between two configurations. Validate reports the same problems however the values were decoded, so the command-line tool,
// package configure and a daemon that installs a revision agree on what is valid.
package document
