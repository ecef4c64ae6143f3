// Package audit lists the accepted changes of the configuration by following the chain of roots from the head.
package audit
