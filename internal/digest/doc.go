// Package digest builds what a daemon tells a peer about itself and others. Both sides of an exchange use it: the fleet
// command that starts one and the peers' query that answers.
package digest
