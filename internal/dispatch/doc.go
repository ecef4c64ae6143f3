// Package dispatch sends attempts to backend servers through the rank pools, the in-flight limits and the connection
// budget, and admits requests. It serves both the query and the command packages and decides nothing itself: choices
// come from the decision packages, and what an attempt showed goes to the Observer.
//
// An attempt waits in its server's record until the server has headroom, then in tables.ReadyAttempts until a worker of its
// rank is free. Workers are therefore never held by attempts that wait, and a slow server holds at most its own
// in-flight limit of them. With W workers a rank, a fan-out of 92 with thousands of attempts waiting uses at most
// min(W, sum of the in-flight limits) workers, and urgent work has W workers that no other rank uses.
package dispatch
