// Package query is the parent of the packages that only read state. No package under it imports one under
// internal/command, and vice versa; package archtest checks both.
package query
