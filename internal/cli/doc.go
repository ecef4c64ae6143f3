// Package cli holds what the sub-commands of the operators' tool share: exit codes, flags, output formats and the HTTP
// client for a daemon's ports. The sub-commands that change state are in package command, those that only read are in
// package query, the same division as in the daemon.
package cli
