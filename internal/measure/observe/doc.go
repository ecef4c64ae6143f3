// Package observe is the query side of the measurement driver: it reads answers and the stand-ins' execution records,
// counts violations of the guarantees, and works out figures. It changes nothing in the system measured. Package cluster
// is the command side; neither imports the other.
package observe
