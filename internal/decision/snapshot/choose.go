package snapshot

import (
	"slices"

	"oleandersill.example/oleandersill/internal/model"
)

// ShardVersions holds what is known about the index versions of one shard.
type ShardVersions struct {
	// Fraction is the fraction of the key space that the shard holds.
	Fraction float64
	// Answered lists the versions for which a complete reply was received.
	Answered []model.IndexVersion
	// Held lists the versions that some server of the shard reported to hold.
	Held []model.IndexVersion
}

// Plan is the version that can reach the most coverage, and the indices of the shards to query again for it.
type Plan struct {
	Version model.IndexVersion
	Requery []int
}

// score is the coverage of one version: answered by the replies received, and reachable if the other shards that hold the
// version are queried again.
type score struct {
	reachable float64
	answered  float64
}

// Choose returns the version that can reach the most coverage if the shards that hold it are queried again. Ties go to the
// version with more coverage in the replies received, because it costs fewer requests, and then to the newer version.
// Choose returns false if no shard has answered.
func Choose(shards []ShardVersions) (Plan, bool) {
	scores := scoreVersions(shards)
	var best model.IndexVersion
	for v, s := range scores {
		if s.answered == 0 {
			continue
		}
		if best == 0 || better(v, s, best, scores[best]) {
			best = v
		}
	}
	if best == 0 {
		return Plan{}, false
	}
	plan := Plan{Version: best}
	for i := range shards {
		if !slices.Contains(shards[i].Answered, best) && slices.Contains(shards[i].Held, best) {
			plan.Requery = append(plan.Requery, i)
		}
	}
	return plan, true
}

// ChooseAnswered returns the version with the most coverage in the replies received, the newer one on a tie, or false if
// no shard has answered. It is used when no further queries are made.
func ChooseAnswered(shards []ShardVersions) (model.IndexVersion, bool) {
	var best model.IndexVersion
	scores := scoreVersions(shards)
	for v, s := range scores {
		if s.answered == 0 {
			continue
		}
		if best == 0 || s.answered > scores[best].answered || (s.answered == scores[best].answered && v > best) {
			best = v
		}
	}
	return best, best != 0
}

func better(v model.IndexVersion, s score, w model.IndexVersion, t score) bool {
	switch {
	case s.reachable != t.reachable:
		return s.reachable > t.reachable
	case s.answered != t.answered:
		return s.answered > t.answered
	}
	return v > w
}

func scoreVersions(shards []ShardVersions) map[model.IndexVersion]score {
	scores := map[model.IndexVersion]score{}
	for i := range shards {
		sh := &shards[i]
		for _, v := range sh.Answered {
			s := scores[v]
			s.answered += sh.Fraction
			s.reachable += sh.Fraction
			scores[v] = s
		}
		for _, v := range sh.Held {
			if slices.Contains(sh.Answered, v) {
				continue
			}
			s := scores[v]
			s.reachable += sh.Fraction
			scores[v] = s
		}
	}
	return scores
}
