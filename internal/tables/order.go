package tables

import "oleandersill.example/oleandersill/internal/lockorder"

// The lock order, as the package documentation gives it.
const (
	OrderConfig lockorder.Order = iota + 1
	OrderMembers
	OrderDepartures
	OrderOwners
	OrderPeers
	OrderAdmissions
	OrderExecutions
	OrderCall
	OrderServers
	OrderServer
	OrderReady
	OrderForwards
	OrderBudgets
	OrderRollouts
	OrderZones
	OrderTimer
)
