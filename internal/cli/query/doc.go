// Package query holds the sub-commands that only read: validate, import, plan, get, status, audit, query, trace and
// version.
package query
