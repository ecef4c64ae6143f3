package limit

// maxOwners is the number of daemons that may consider themselves a server's owner at the same time: the current and the
// previous owner, for each of two membership views that differ.
const maxOwners = 4

// ConnectionBudget returns how many connections one daemon may open to a server that accepts the given number of connections
// in total, when at most the given number of daemons run at the same time.
//
// If there is at least one connection for each daemon, all daemons get an equal share. The sum over all daemons then never
// exceeds the server's limit, regardless of what each daemon knows about the others. Otherwise only the server's owner opens
// connections, and the other daemons send their attempts through the owner. An owner's share reserves connections for daemons
// that consider themselves the owner because their membership views differ. A server that accepts fewer connections than there
// may be such daemons (OwnerOnly) gets one connection from its owner.
func ConnectionBudget(connections, daemons int) int {
	if connections <= 0 || daemons <= 0 {
		return 0
	}
	if connections >= daemons {
		return connections / daemons
	}
	return max(1, connections/min(daemons, maxOwners))
}

// OwnerOnly reports whether a server accepts so few connections that no daemon other than its owner may send anything to it.
// While membership views differ, more daemons than it has connections may consider themselves the owner. The server then refuses
// the connections that exceed its limit, so their attempts are not run.
func OwnerOnly(connections, daemons int) bool {
	return connections < min(daemons, maxOwners)
}
