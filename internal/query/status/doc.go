// Package status reads what a daemon knows about itself, the other daemons and the store.
package status
