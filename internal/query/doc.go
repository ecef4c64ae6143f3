// Package query is the parent of the packages that only read. No package under it imports one under internal/command,
// and the reverse holds too; package archtest checks both.
package query
