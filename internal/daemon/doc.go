// Package daemon assembles the daemon from its tables, pools, decisions, commands, queries and their encodings.
package daemon
