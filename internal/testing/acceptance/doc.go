// Package acceptance tests daemons as callers see them: over HTTP, against the stand-ins, in the same process or as a
// process of their own.
package acceptance
