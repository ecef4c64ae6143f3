// Package query holds the sub-commands that only read: validate, import, plan, get, status, audit, query and version.
package query
