// Package coldstart decides which attempts are sent to a backend server that is cold. Such a server has empty caches after a start
// or a loss of them, and the full load of its shard would keep it from ever filling them: each request takes many times as long as
// usual, so that requests pile up. The owner of the server therefore limits the attempts per second, urgent ones first.
package coldstart
