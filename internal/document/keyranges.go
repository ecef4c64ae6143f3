package document

import (
	"cmp"
	"fmt"
	"slices"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/validation"
)

// checkKeyRanges reports overlaps and gaps between the key ranges of a service's shards. It reports nothing if the range of a
// shard is invalid by itself, which checkShards reports.
func checkKeyRanges(problems *validation.Problems, service *path, shards []model.ShardSpec) {
	order := make([]int, 0, len(shards))
	for i, sh := range shards {
		if sh.KeyFrom < 0 || sh.KeyTo > model.KeySpace || sh.KeyFrom >= sh.KeyTo {
			continue
		}
		order = append(order, i)
	}
	if len(order) < len(shards) || len(order) == 0 {
		return
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(shards[a].KeyFrom, shards[b].KeyFrom) })
	covered, last := 0, -1
	for _, i := range order {
		sh := shards[i]
		at := &path{parent: service, list: "shards", index: i}
		switch {
		case sh.KeyFrom < covered:
			problems.Add(validation.KindOverlap, at.field("key_from"), fmt.Sprintf("%d", covered),
				"is %d, which overlaps shard %q", sh.KeyFrom, shards[last].Name)
		case sh.KeyFrom > covered:
			problems.Add(validation.KindGap, at.field("key_from"), fmt.Sprintf("%d", covered),
				"is %d, so no shard holds keys %d to %d", sh.KeyFrom, covered, sh.KeyFrom-1)
		}
		if sh.KeyTo > covered {
			covered, last = sh.KeyTo, i
		}
	}
	if covered < model.KeySpace {
		at := &path{parent: service, list: "shards", index: last}
		problems.Add(validation.KindGap, at.field("key_to"), fmt.Sprintf("%d", model.KeySpace),
			"is %d, so no shard holds keys %d to %d", covered, covered, model.KeySpace-1)
	}
}
