package document

import (
	"strconv"
)

// path is the place of a list item in a document. Its text is built only for a problem: a daemon checks each revision,
// and at 73,000 servers the text of every field would cost more than the checks.
type path struct {
	parent *path
	list   string
	index  int
}

// String returns the path as services[0].shards[2].
func (p *path) String() string {
	if p == nil {
		return ""
	}
	return p.parent.field(p.list) + "[" + strconv.Itoa(p.index) + "]"
}

// field returns the path of a field of the item; a nil path is the whole document.
func (p *path) field(name string) string {
	if p == nil {
		return name
	}
	return p.String() + "." + name
}
