package tables

import "oleandersill.example/oleandersill/internal/model"

// Attempt is one try of a sub-request, from the choice of its server to its end. A worker of the rank's pool calls Run
// once, after the attempt acquired capacity at the server.
type Attempt struct {
	Server *Server
	Rank   model.Rank
	Run    func()
}
