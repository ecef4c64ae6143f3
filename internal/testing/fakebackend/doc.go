// Package fakebackend provides an in-process backend.Connector for tests. Each of its servers follows a Script, and the
// connector counts the queries, cancellations and opened connections.
package fakebackend
