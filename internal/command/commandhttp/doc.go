// Package commandhttp serves the commands to callers and operators over HTTP, with JSON bodies. It decodes requests and
// encodes responses; the commands themselves are in packages configure, drain and execute.
package commandhttp
