// Package quota decides which requests of a workspace are within its quota over the whole fleet. Each availability zone has a fixed
// part of the quota, which one daemon of the zone, its owner there, grants from a Bucket. Since no zone grants the part of another,
// partitions between zones do not raise the total.
//
// All times are read from one clock that also advances while the machine is suspended, and are passed in.
package quota
