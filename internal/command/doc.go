// Package command is the parent of the packages that change state. No package under it imports one under
// internal/query, and the reverse holds too; package archtest checks both.
package command
