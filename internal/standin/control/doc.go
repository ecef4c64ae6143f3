// Package control lets a test or an operator of a trial set the faults of a site over HTTP/JSON while it runs, and read
// what its servers did. commands.go changes the site, queries.go only reads.
//
//	PUT  /v1/servers/{name}/faults       replaces the faults of a server (ServerFaults)
//	POST /v1/servers/{name}/crash
//	POST /v1/servers/{name}/restart
//	PUT  /v1/servers/{name}/version      makes an index version current (VersionChange)
//	PUT  /v1/servers/{name}/shard        repartitions (ShardChange)
//	PUT  /v1/platform/faults             replaces the faults of the platform (PlatformFaults)
//	PUT  /v1/platform/instances          replaces the list of instances (a list of platform.Instance)
//	GET  /v1/servers/{name}              a server's state (ServerState)
//	GET  /v1/platform                    calls by kind
//	GET  /v1/executions                  what all servers ran (Executions)
package control
