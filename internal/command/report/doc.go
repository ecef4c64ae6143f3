// Package report records what attempts, health and load reports show about backend servers, and keeps the table of
// server records and the admission limits in step with the Topology in force.
package report
