package limit

// maxOwners is the number of daemons that may hold a server to be their own at a time: its owner, the one before it, and
// as many again while two views of the members differ.
const maxOwners = 4

// ConnectionBudget returns how many connections one daemon may hold to a server that accepts connections in all, when at
// most daemons daemons can run at a time.
//
// If every daemon can have one, each gets an equal part. The sum over all daemons then never exceeds the server's limit,
// whatever each daemon believes about the others. Otherwise only the server's owner opens connections, and the others
// send through it; the part that an owner gets leaves room for owners by views of the members that differ.
func ConnectionBudget(connections, daemons int) int {
	if daemons <= 0 {
		return 0
	}
	if connections >= daemons {
		return connections / daemons
	}
	return connections / min(daemons, maxOwners)
}
