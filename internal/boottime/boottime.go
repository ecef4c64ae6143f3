// Package boottime reads CLOCK_BOOTTIME. Unlike the monotonic clock of package time, it also counts the time during which the
// machine is suspended, and unlike the time of day it does not jump. An age that must not be underestimated is measured with it.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a time since the machine was booted. The zero value means that there is none.
type Time time.Duration

// Now returns the current time.
func Now() Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("boottime: " + err.Error())
	}
	return Time(t.Nano())
}

// Since returns the time that has passed since t.
func Since(t Time) time.Duration { return Now().Sub(t) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Add returns t plus d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// IsZero reports whether there is no time.
func (t Time) IsZero() bool { return t == 0 }
