package audit

import (
	"context"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/configstore"
)

// Limits of a page. Each entry costs one read of the store.
const (
	DefaultLimit = 20
	MaxLimit     = 200
)

// Page is a part of the audit trail. Its changes are ordered from the newest to the oldest.
type Page struct {
	Changes []configdoc.Change
	// Next is the hash of the root at which the next page starts; empty at the end of the trail.
	Next configdoc.Hash
}

// Lister reads the audit trail.
type Lister struct {
	Store configstore.Reader
}

// List returns at most limit changes, starting at the root with the given hash; an empty hash stands for the head. A limit
// of 0 or less means DefaultLimit, and a limit above MaxLimit means MaxLimit. Changes that are accepted meanwhile do not
// affect a page that starts at a given hash, since roots are immutable.
func (l Lister) List(ctx context.Context, from configdoc.Hash, limit int) (Page, error) {
	root, err := l.firstRoot(ctx, from)
	if err != nil {
		return Page{}, err
	}
	if limit <= 0 {
		limit = DefaultLimit
	}
	page := Page{Changes: []configdoc.Change{}}
	for range min(limit, MaxLimit) {
		if root == nil {
			return page, nil
		}
		prev, err := l.Store.Previous(ctx, root)
		if err != nil {
			return Page{}, err
		}
		page.Changes = append(page.Changes, configdoc.ChangeOf(prev, root))
		page.Next = root.Previous
		root = prev
	}
	return page, nil
}

func (l Lister) firstRoot(ctx context.Context, from configdoc.Hash) (*configdoc.Root, error) {
	if from != "" {
		return l.Store.Root(ctx, from)
	}
	head, err := l.Store.Head(ctx)
	return head.Root, err
}
