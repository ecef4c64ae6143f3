package limit

// ConnectionBudget returns how many connections one daemon may hold to a server that accepts connections in all, when at
// most daemons daemons can run at a time. The sum over all daemons never exceeds the server's limit, whatever each daemon
// believes about the others. A budget of 0 means that the daemon must reach the server through another daemon.
func ConnectionBudget(connections, daemons int) int {
	if daemons <= 0 {
		return 0
	}
	return connections / daemons
}
