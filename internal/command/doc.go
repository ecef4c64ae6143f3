// Package command is the parent of the packages that change state. No package below it imports one below internal/query,
// or vice versa; package archtest checks both.
package command
