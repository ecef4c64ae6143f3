// Package commandhttp is the callers' and operators' HTTP/JSON encoding of the commands. It decides nothing.
package commandhttp
