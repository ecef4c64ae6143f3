// Package configread reads revisions of the configuration.
package configread
