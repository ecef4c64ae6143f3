// Package archtest checks the shape of the code: which packages may import which.
package archtest
