package tables

import "oleandersill.example/oleandersill/internal/lockorder"

// The lock order, described in the package documentation.
const (
	OrderRegistry lockorder.Order = iota + 1
	OrderConfig
	OrderMembers
	OrderDepartures
	OrderOwners
	OrderPeers
	OrderAdmissions
	OrderExecutions
	OrderCall
	OrderServers
	OrderServer
	OrderReadyAttempts
	OrderForwards
	OrderQuotas
	OrderBudgets
	OrderServiceBudgets
	OrderSplits
	OrderAnswerLag
	OrderRollouts
	OrderZones
	OrderPauses
	OrderIntake
	OrderTimer
)
