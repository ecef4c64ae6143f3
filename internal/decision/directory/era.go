package directory

// Revision is a revision of the store; a higher one is newer if both are of the same era.
type Revision uint64

// Era numbers the incarnations of the store. It rises when the store is restored from an older copy, after which revisions are
// given out again. It is 0 if the store states none.
type Era uint64

// Point is a point in the history of the store.
type Point struct {
	Era      Era
	Revision Revision
}

// Before reports whether p is earlier than other. Revisions of different eras are not compared.
func (p Point) Before(other Point) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Revision < other.Revision
}
