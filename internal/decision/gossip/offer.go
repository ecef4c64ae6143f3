package gossip

import "oleandersill.example/oleandersill/internal/model"

// Verdict is the decision on an offered configuration revision.
type Verdict uint8

const (
	// Ignore means that the offer is the configuration in force or an older one.
	Ignore Verdict = iota
	// Accept means that the offer has a higher revision than the one in force.
	Accept
	// Conflict means that the offer has the revision in force but another root. It is never accepted: under a rule that
	// could prefer either root, daemons could exchange them forever.
	Conflict
)

// CompareOffer compares an offer with the configuration in force. Only a strictly higher revision is accepted, so a daemon
// never returns to an older one.
func CompareOffer(inForce, offered model.Offer) Verdict {
	switch {
	case offered.Revision > inForce.Revision:
		return Accept
	case offered.Revision == inForce.Revision && offered.Revision != 0 && offered.Root != inForce.Root:
		return Conflict
	}
	return Ignore
}
