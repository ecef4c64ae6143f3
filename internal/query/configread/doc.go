// Package configread reads one revision of the configuration.
package configread
