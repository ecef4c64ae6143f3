// Package fakebackend is an in-process backend.Connector for tests. Each server behaves as its Script says, and every
// call is recorded.
package fakebackend
