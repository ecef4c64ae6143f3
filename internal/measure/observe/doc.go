// Package observe is the query side of the measurement driver. It reads answers and the stand-ins' execution records, counts
// violations of the guarantees, and computes figures. It changes nothing in the system under test. Package cluster is the
// command side; neither imports the other.
package observe
