// Package backendserver is a stand-in for backend servers. It generates its items from the shard's name, runs at most
// its number of slots at a time, and keeps a record of what it ran.
package backendserver
