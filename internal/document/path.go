package document

import (
	"strconv"
)

// path is the location of a list item in a document. Its text is built only when a problem is reported: a daemon validates
// each revision, and with 73,000 servers building the text for every field would cost more than the checks.
type path struct {
	parent *path
	list   string
	index  int
}

// String formats the path, for example as services[0].shards[2].
func (p *path) String() string {
	if p == nil {
		return ""
	}
	return p.parent.field(p.list) + "[" + strconv.Itoa(p.index) + "]"
}

// field returns the text of the path of a field of the item; a nil path stands for the whole document.
func (p *path) field(name string) string {
	if p == nil {
		return name
	}
	return p.String() + "." + name
}
