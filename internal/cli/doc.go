// Package cli holds what the sub-commands of the operators' tool share: exit codes, flags, output formats and the client
// of a daemon's ports. Its packages command and query are divided like the daemon: one changes state, the other reads.
package cli
