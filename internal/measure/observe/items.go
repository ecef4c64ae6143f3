package observe

import (
	"strconv"
	"strings"

	"oleandersill.example/oleandersill/internal/model"
)

// origin is what an item of the stand-ins tells about itself.
type origin struct {
	shard   model.ShardName
	epoch   model.ShardMapEpoch
	version model.IndexVersion
	text    string
}

// parseItem reads an item's body, which is shard/epoch/version/text; only the shard's name may hold a slash.
func parseItem(item model.Item) (origin, bool) {
	rest, text, ok := cutLast(item.Body)
	if !ok {
		return origin{}, false
	}
	rest, version, ok := cutLast(rest)
	if !ok {
		return origin{}, false
	}
	shard, epoch, ok := cutLast(rest)
	if !ok {
		return origin{}, false
	}
	v, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return origin{}, false
	}
	e, err := strconv.ParseUint(epoch, 10, 64)
	if err != nil {
		return origin{}, false
	}
	return origin{
		shard: model.ShardName(shard), epoch: model.ShardMapEpoch(e), version: model.IndexVersion(v), text: text,
	}, true
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}
