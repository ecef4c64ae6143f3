// Package tables holds the state that a daemon's workers share. Each table is a type with its own lock and invariants. The
// comment on the type names the table's owner, the package responsible for its state.
//
// # Lock order
//
// A goroutine acquires locks in strictly increasing order and holds none across I/O, channel sends that may block, or callbacks:
//
//	OrderRegistry       Registry       latest known content of the platform's store
//	OrderConfig         Config         the current Topology
//	OrderMembers        Members        known daemons
//	OrderDepartures     Departures     backend servers that are leaving
//	OrderOwners         Owners         daemons that may own servers
//	OrderPeers          (peer)         open connections between daemons
//	OrderAdmissions     Admissions     one admission queue per service
//	OrderExecutions     Executions     non-idempotent requests in progress
//	OrderCall           (scatter)      one lock per scatter-gather call; one held at a time
//	OrderServers        Servers        the index of server records
//	OrderServer         Server         one lock per record; one held at a time
//	OrderReadyAttempts  ReadyAttempts  attempts ready to be sent, by rank
//	OrderForwards       Forwards       sub-requests exchanged with other daemons
//	OrderQuotas         Quotas         quotas of workspaces
//	OrderBudgets        Budgets        hedge and retry windows
//	OrderServiceBudgets ServiceBudgets retries and hedges of this daemon, by service
//	OrderSplits         Splits         request counts of weighted routes
//	OrderAnswerLag      AnswerLag      delay between a due answer and its write
//	OrderRollouts       Rollouts       services whose index version is changing
//	OrderZones          Zones          reachability of availability zones
//	OrderPauses         Pauses         the last pause of this process
//	OrderIntake         Intake         connections of a port and what they hold in memory
//	OrderTimer          (pool.Timer)   the shared deadline heap
//
// The orders of all product tables are declared here; those of the stand-ins, all of them higher, are in package standin.
// Every lock is a lockorder.Mutex, which panics in tests when it is acquired out of order.
package tables
