package observe

import (
	"strconv"
	"strings"

	"oleandersill.example/oleandersill/internal/model"
)

// itemOrigin is the shard, shard map epoch, index version and query text that an item of a stand-in was generated from.
type itemOrigin struct {
	shard   model.ShardName
	epoch   model.ShardMapEpoch
	version model.IndexVersion
	text    string
}

// parseItem parses an item's body, which is shard/epoch/version/text. Only the shard's name may contain a slash.
func parseItem(item model.Item) (itemOrigin, bool) {
	rest, text, ok := cutLast(item.Body)
	if !ok {
		return itemOrigin{}, false
	}
	rest, version, ok := cutLast(rest)
	if !ok {
		return itemOrigin{}, false
	}
	shard, epoch, ok := cutLast(rest)
	if !ok {
		return itemOrigin{}, false
	}
	v, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return itemOrigin{}, false
	}
	e, err := strconv.ParseUint(epoch, 10, 64)
	if err != nil {
		return itemOrigin{}, false
	}
	return itemOrigin{
		shard: model.ShardName(shard), epoch: model.ShardMapEpoch(e), version: model.IndexVersion(v), text: text,
	}, true
}

// cutLast splits s at its last slash.
func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}
