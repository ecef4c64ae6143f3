// Package freeport finds free loopback addresses for programs that tests start. Next closes the port again, so another socket
// could take it before the program listens on it. To prevent that, the ports lie below the range from which the kernel
// assigns ports, and each test package has its own range.
package freeport

import (
	"fmt"
	"net"
	"sync/atomic"
)

// The first ports of the ranges, each for the tests of one package.
const (
	// PlatformProgram is for cmd/oleandersill-platform.
	PlatformProgram = 21000
	// PlatformDaemon is for platform/daemon.
	PlatformDaemon = 22000
	// PlatformSoak is for platform/soak.
	PlatformSoak = 23000
	// Daemon is for internal/daemon.
	Daemon = 24000
	// PlatformMisuse is for platform/misuse.
	PlatformMisuse = 25000
)

// rangeSize is the number of ports in a range.
const rangeSize = 1000

// probed counts the ports that Next has tried, in all ranges.
var probed atomic.Int64

// Next returns a free loopback address, host:port, in the range that begins at first. Successive calls return different
// addresses until the range is used up. It panics if no port of the range is free.
func Next(first int) string {
	for range rangeSize {
		port := first + int(probed.Add(1)-1)%rangeSize
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address) //nolint:noctx // a test's helper
		if err != nil {
			continue
		}
		if err := l.Close(); err == nil {
			return address
		}
	}
	panic(fmt.Sprintf("freeport: no free port from %d on", first))
}
