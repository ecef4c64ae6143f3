// Package daemon assembles an entry instance from its tables, pools, decisions, commands, queries and their encodings.
package daemon
