package snapshot

import "oleandersill.example/oleandersill/internal/model"

// VersionCounter counts by how many servers each version is held. The zero value is empty.
type VersionCounter struct {
	servers int
	holders map[model.IndexVersion]int
}

// Add counts one server with the versions that it holds; a server of which none are known is left out.
func (t *VersionCounter) Add(held []model.IndexVersion) {
	if len(held) == 0 {
		return
	}
	if t.holders == nil {
		t.holders = map[model.IndexVersion]int{}
	}
	t.servers++
	for _, v := range held {
		t.holders[v]++
	}
}

// NewestCommon returns the newest version that every counted server holds, or 0 if there is none. Asking for it while versions
// change keeps shards from answering with different ones.
func (t *VersionCounter) NewestCommon() model.IndexVersion {
	var newest model.IndexVersion
	for v, n := range t.holders {
		if n == t.servers {
			newest = max(newest, v)
		}
	}
	return newest
}
