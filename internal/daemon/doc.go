// Package daemon composes one entry instance: tables, pools, decisions, commands, queries and their encodings.
package daemon
