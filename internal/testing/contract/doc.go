// Package contract holds one suite of specs for each interface to an outside system: platform.Store,
// platform.InstanceList and backend.Server. Every implementation's tests call the suite, so that all of them, and the
// stand-ins behind them, agree on what an error means. Fault cases are tables.
package contract
