package spread

import "oleandersill.example/oleandersill/internal/model"

// Verdict is what to do with an offered revision.
type Verdict uint8

// The verdicts on an offer.
const (
	// Ignore: the offer is not news.
	Ignore Verdict = iota
	// Accept: the offer is a higher revision.
	Accept
	// Conflict: the offer has the revision in force and another root. It is never taken: with a rule that could choose
	// either root, daemons could swap them for ever.
	Conflict
)

// CompareOffer compares an offer with what is in force. Only a strictly higher revision is taken, so nothing reverts.
func CompareOffer(inForce, offered model.Offer) Verdict {
	switch {
	case offered.Revision > inForce.Revision:
		return Accept
	case offered.Revision == inForce.Revision && offered.Revision != 0 && offered.Root != inForce.Root:
		return Conflict
	}
	return Ignore
}
