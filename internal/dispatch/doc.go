// Package dispatch admits requests and sends attempts to backend servers. It applies the worker pool of each rank, the
// in-flight limits and the connection budgets. Both the query and the command packages use it. It makes no decisions of
// its own: the decision packages make them, and the result of each attempt is reported to the Observer.
//
// An attempt is queued in its server's record until the server has capacity, then in tables.ReadyAttempts until a worker of its
// rank is free. Queued attempts therefore never occupy workers, and a slow server occupies at most as many workers as its
// in-flight limit. With W workers per rank, a fan-out of 92 with thousands of queued attempts uses at most
// min(W, sum of the in-flight limits) workers, and urgent requests have W workers that no other rank uses.
package dispatch
