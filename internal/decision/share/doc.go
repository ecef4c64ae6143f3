// Package share decides which rank is served next where several wait: the one furthest below its minimum share of the
// recent service, or else the most urgent.
package share
