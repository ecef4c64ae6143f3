// Package archtest tests the architecture rules: which packages may import which, and which code may use the names of the
// platform's wire protocol.
package archtest
