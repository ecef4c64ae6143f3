package snapshot

import "oleandersill.example/oleandersill/internal/model"

// VersionCounter counts the servers that hold each version. The zero value is empty.
type VersionCounter struct {
	servers int
	holders map[model.IndexVersion]int
}

// Add counts one server with the versions that it holds. A server without known versions is not counted.
func (c *VersionCounter) Add(held []model.IndexVersion) {
	if len(held) == 0 {
		return
	}
	if c.holders == nil {
		c.holders = map[model.IndexVersion]int{}
	}
	c.servers++
	for _, v := range held {
		c.holders[v]++
	}
}

// NewestCommon returns the newest version that every counted server holds, or 0 if there is none. Requesting it while a
// new version is rolled out keeps shards from answering with different ones.
func (c *VersionCounter) NewestCommon() model.IndexVersion {
	var newest model.IndexVersion
	for v, n := range c.holders {
		if n == c.servers {
			newest = max(newest, v)
		}
	}
	return newest
}
