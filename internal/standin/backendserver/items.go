package backendserver

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"oleandersill.example/oleandersill/internal/model"
)

// Content names what a server answers from. Equal contents give equal items on every server.
type Content struct {
	Shard   model.ShardName
	Epoch   model.ShardMapEpoch
	Version model.IndexVersion
	Text    string
	// Items is the number of matches in the shard.
	Items int
}

// Generate returns the best limit items of a content, by descending score and then by key. The body of an item names
// its shard, epoch, version and text.
func Generate(c Content, limit int) []model.Item { return answer(rank(c), c.Text, limit) }

// rank returns all items of a content in order, with bodies that lack the text.
func rank(c Content) []model.Item {
	origin := fmt.Sprintf("%s/%d/%d/", c.Shard, c.Epoch, c.Version)
	h := fnv.New64a()
	// Writing to a hash returns no error.
	_, _ = h.Write([]byte(origin))
	rnd := rand.New(rand.NewPCG(h.Sum64(), 1)) //nolint:gosec // reproducible items
	items := make([]model.Item, c.Items)
	for i := range items {
		items[i] = model.Item{Key: fmt.Sprintf("%s-%d", c.Shard, i), Score: rnd.Float64(), Body: origin}
	}
	return best(items, len(items))
}

// answer returns the first limit of ranked items with the text in their bodies.
func answer(ranked []model.Item, text string, limit int) []model.Item {
	out := slices.Clone(ranked[:max(0, min(limit, len(ranked)))])
	for i := range out {
		out[i].Body += text
	}
	return out
}

// GenerateMerged returns the right answer for a query that all the contents answer.
func GenerateMerged(contents []Content, limit int) []model.Item {
	var all []model.Item
	for _, c := range contents {
		all = append(all, Generate(c, limit)...)
	}
	return best(all, limit)
}

func best(items []model.Item, limit int) []model.Item {
	slices.SortFunc(items, func(a, b model.Item) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Key, b.Key))
	})
	return items[:max(0, min(limit, len(items)))]
}
