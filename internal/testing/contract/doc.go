// Package contract holds a suite of contract tests for each interface to an external system: platform.Store,
// platform.InstanceList, backend.Server, and registry.Reader with registry.Announcer. The tests of every implementation run
// the suite, so that all implementations, and the stand-ins behind them, agree on what an error means.
package contract
