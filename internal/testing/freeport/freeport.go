// Package freeport finds addresses for programs that tests start. The ports lie below those that the kernel gives to other
// sockets, and each package of tests has a range of its own: a port that is found free and closed again could otherwise be
// taken by another test before the program opens it.
package freeport

import (
	"fmt"
	"net"
	"sync/atomic"
)

// The first ports of the ranges.
const (
	PlatformProgram = 21000
	PlatformDaemon  = 22000
	PlatformSoak    = 23000
)

// rangeSize is the number of ports of a range.
const rangeSize = 1000

var taken atomic.Int64

// Next returns an unused loopback address, host:port, of the range that begins at first. It panics when there is none.
func Next(first int) string {
	for range rangeSize {
		port := first + int(taken.Add(1)-1)%rangeSize
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
