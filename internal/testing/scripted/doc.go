// Package scripted holds a store and backend servers whose faults are scripted call by call, for tests of what is told
// about non-idempotent requests. Effects may be delayed until the test settles the world.
package scripted
