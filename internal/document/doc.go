// Package document reads and checks the inventory and the rules. Validate gives the same verdict on values however they
// were decoded, so the operators' tool, configure and a daemon that takes a revision agree on what is valid.
package document
