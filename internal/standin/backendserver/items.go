package backendserver

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"oleandersill.example/oleandersill/internal/model"
)

// Content identifies the data from which a server answers a query. All servers generate the same items for equal contents.
type Content struct {
	Shard   model.ShardName
	Epoch   model.ShardMapEpoch
	Version model.IndexVersion
	Text    string
	// Items is the number of items in the shard that match a query.
	Items int
}

// Generate returns the first limit items of a content, ordered by descending score and then by key. The body of an item
// names its shard, epoch, version and text.
func Generate(c Content, limit int) []model.Item { return topItems(generateSorted(c), c.Text, limit) }

// generateSorted returns all items of a content in order, with the text missing from their bodies.
func generateSorted(c Content) []model.Item {
	origin := fmt.Sprintf("%s/%d/%d/", c.Shard, c.Epoch, c.Version)
	h := fnv.New64a()
	// Writing to a hash never returns an error.
	_, _ = h.Write([]byte(origin))
	rnd := rand.New(rand.NewPCG(h.Sum64(), 1)) //nolint:gosec // reproducible items
	items := make([]model.Item, c.Items)
	for i := range items {
		items[i] = model.Item{Key: fmt.Sprintf("%s-%d", c.Shard, i), Score: rnd.Float64(), Body: origin}
	}
	return sortAndLimit(items, len(items))
}

// topItems returns the first limit of sorted items, with the text added to their bodies.
func topItems(sorted []model.Item, text string, limit int) []model.Item {
	out := slices.Clone(sorted[:max(0, min(limit, len(sorted)))])
	for i := range out {
		out[i].Body += text
	}
	return out
}

// GenerateMerged returns the expected result of a query that is answered from all of the contents.
func GenerateMerged(contents []Content, limit int) []model.Item {
	var all []model.Item
	for _, c := range contents {
		all = append(all, Generate(c, limit)...)
	}
	return sortAndLimit(all, limit)
}

// sortAndLimit sorts items by descending score and then by key, and returns the first limit of them.
func sortAndLimit(items []model.Item, limit int) []model.Item {
	slices.SortFunc(items, func(a, b model.Item) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Key, b.Key))
	})
	return items[:max(0, min(limit, len(items)))]
}
