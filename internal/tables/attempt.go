package tables

import "oleandersill.example/oleandersill/internal/model"

// Attempt is one try of a sub-request, from the choice of its server to its end. Either Run or Reject is called, once. A worker of
// the rank's pool calls Run after the attempt acquired capacity at the server.
type Attempt struct {
	Server *Server
	Rank   model.Rank
	Run    func()
	// Reject ends an attempt that was removed from the server's queue, without having been sent. It does not block.
	Reject func()
}
