// Package tables holds the state that a daemon's workers share. Each table is a type with its own lock, its owner (the
// only package that changes it) and its invariants.
//
// # Lock order
//
// A goroutine acquires locks in strictly increasing order and holds none across I/O, channel sends or callbacks:
//
//	OrderRegistry       Registry       what the platform's store was last heard to say
//	OrderConfig         Config         the Topology in force
//	OrderMembers        Members        known daemons
//	OrderDepartures     Departures     backend servers that are leaving
//	OrderOwners         Owners         daemons that may own servers
//	OrderPeers          (peer)         open connections between daemons
//	OrderAdmissions     Admissions     one admission queue a service
//	OrderExecutions     Executions     non-idempotent requests of this daemon
//	OrderCall           (scatter)      one lock a scatter-gather call; one call at a time
//	OrderServers        Servers        the index of server records
//	OrderServer         Server         one lock a record; one record at a time
//	OrderReadyAttempts  ReadyAttempts  attempts that hold headroom, by rank
//	OrderForwards       Forwards       sub-requests on their way to and from owners
//	OrderBudgets        Budgets        hedge and retry windows
//	OrderServiceBudgets ServiceBudgets extra attempts of this daemon, by service
//	OrderSplits         Splits         requests of weighted routes
//	OrderAnswerLag      AnswerLag      how long answers take to be written
//	OrderRollouts       Rollouts       services whose index version is changing
//	OrderZones          Zones          availability zones held unreachable
//	OrderTimer          (pool.Timer)   the shared deadline heap
//
// A package that adds a table adds its order here and nowhere else; the stand-ins' orders, all above these, are in
// package standin. Every lock is a lockorder.Mutex, whose check panics in tests on any acquisition against this order.
package tables
