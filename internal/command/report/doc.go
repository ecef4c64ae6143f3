// Package report records the results of attempts and the health and load reports of backend servers, and updates the table of
// server records and the admission limits to each new Topology.
package report
