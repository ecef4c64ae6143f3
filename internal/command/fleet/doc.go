// Package fleet brings new revisions to this daemon and puts them in force.
package fleet
