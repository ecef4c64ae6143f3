// Package status reads what a daemon knows about itself, the fleet and the store.
package status
