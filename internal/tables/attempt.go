package tables

import "oleandersill.example/oleandersill/internal/model"

// Attempt is one try of a sub-request, from the choice of its server to its end. Run is called once by a worker of the
// rank's pool, after headroom was taken.
type Attempt struct {
	Server *Server
	Rank   model.Rank
	Run    func()
}
