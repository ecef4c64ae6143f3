// Package pause estimates how long messages may have waited because this process did not run: it was stopped, or its machine was
// suspended or had no processor time for it.
package pause
