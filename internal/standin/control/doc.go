// Package control provides an HTTP/JSON API with which a test or a person who runs an experiment injects faults into a
// running site and reads what its servers did. The handlers in commands.go change the site, those in queries.go only read.
//
//	PUT  /v1/servers/{name}/faults       replaces the faults of a server (ServerFaults)
//	POST /v1/servers/{name}/crash
//	POST /v1/servers/{name}/restart
//	PUT  /v1/servers/{name}/version      sets the current index version (VersionChange)
//	PUT  /v1/servers/{name}/shard        sets the shard that a server holds (ShardChange)
//	PUT  /v1/platform/faults             replaces the faults of the platform (PlatformFaults)
//	PUT  /v1/platform/instances          replaces the list of instances (a list of platform.Instance)
//	GET  /v1/servers/{name}              returns a server's state (ServerState)
//	GET  /v1/platform                    returns the platform's counters by kind of call (platformserver.Counts)
//	GET  /v1/executions                  returns the executions of all servers (Executions)
package control
