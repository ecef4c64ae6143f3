package tables

import "oleandersill.example/oleandersill/internal/model"

// Attempt is one try of a sub-request, from the choice of its server to its end. Either Run or Reject is called, once.
type Attempt struct {
	Server *Server
	Rank   model.Rank
	// Run is called by a worker of the rank's pool after the attempt acquired capacity at the server.
	Run func()
	// Reject ends the attempt, which was not sent, after it was removed from the server's queue. It does not block, and is nil for
	// attempts that are never queued.
	Reject func()
}
