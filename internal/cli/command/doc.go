// Package command holds the sub-commands that change state: apply, rollback, drain and execute.
package command
