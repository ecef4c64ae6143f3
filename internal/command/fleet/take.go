package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/decision/spread"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/tables"
)

// ErrInvalid means that a configuration is complete and must not be put in force.
var ErrInvalid = errors.New("fleet: invalid configuration")

// ErrMissing means that neither the peer nor the store gave a value.
var ErrMissing = errors.New("fleet: value missing")

// maxRejected bounds the roots that are remembered as invalid.
const maxRejected = 64

// offer is a revision that a peer or the store has.
type offer struct {
	model.Offer
	// from is the address of the peer that has it, or "".
	from string
	// root is the raw root if it is known.
	root []byte
	// done receives the end of processing, unless it is nil.
	done chan error
}

// enoughAnswers is the number of answers of peers without a configuration after which a daemon that starts no longer waits
// for one that has: the whole fleet starts.
const enoughAnswers = 2

// learnRevision takes what a peer has in force as an offer, and notes that peers have answered. The offer is queued first, so
// that it is processed before an offer of whoever waits for the note.
func (a *Agent) learnRevision(m model.Member, o model.Offer) {
	a.offerFrom(m, o)
	if o.Revision > 0 || a.answers.Add(1) >= enoughAnswers {
		a.inform.Do(func() { close(a.informed) })
	}
}

// offerFrom queues what a peer has in force, if it is news.
func (a *Agent) offerFrom(m model.Member, o model.Offer) {
	if spread.CompareOffer(a.Config.Document().Offer, o) == spread.Ignore {
		return
	}
	select {
	case a.offers <- offer{Offer: o, from: m.Address}:
	default:
	}
}

// process takes one offer. One worker processes all offers in turn, so that several offers of a revision cost one pull.
func (a *Agent) process(ctx context.Context, o offer) {
	err := a.consider(ctx, o)
	if err != nil {
		a.reject(o, err)
	}
	if o.done != nil {
		o.done <- err
	}
}

func (a *Agent) consider(ctx context.Context, o offer) error {
	doc := a.Config.Document()
	switch spread.CompareOffer(doc.Offer, o.Offer) {
	case spread.Accept:
	case spread.Conflict:
		return errors.Wrapf(ErrInvalid, "another root of revision %d is in force", o.Revision)
	case spread.Ignore:
		return nil
	}
	if _, known := a.invalid[o.Root]; known {
		return nil
	}
	return a.take(ctx, o, doc)
}

// take brings the offered revision here and puts it in force.
func (a *Agent) take(ctx context.Context, o offer, doc tables.Document) error {
	root, err := a.loadRoot(ctx, &o)
	if err != nil {
		return err
	}
	values, err := a.loadParts(ctx, o, root, doc)
	if err != nil {
		return err
	}
	if absent := missing(root, values); len(absent) > 0 {
		return errors.Wrapf(ErrMissing, "%d parts of revision %d", len(absent), root.Revision)
	}
	held := a.held(doc)
	inv, rules, err := configdoc.JoinOn(baseOf(held, doc), root, unpacking(values))
	if err != nil {
		return errors.Mark(err, ErrInvalid)
	}
	if err := a.Validate(inventoryOf(held), inv, rules); err != nil {
		return errors.Mark(err, ErrInvalid)
	}
	values[configdoc.Hash(o.Root)] = configdoc.Pack(o.root)
	a.install(model.NewTopologyOn(held, root.Revision, inv, rules), tables.Document{Root: root, Offer: o.Offer, Values: values})
	return nil
}

// unpacking returns a function that unpacks one value, or returns nil if it is missing or corrupt.
func unpacking(values map[configdoc.Hash][]byte) func(configdoc.Hash) []byte {
	return func(h configdoc.Hash) []byte {
		value, err := configdoc.Unpack(h, values[h])
		if err != nil {
			return nil
		}
		return value
	}
}

// held returns the Topology in force, whose unchanged services a new one shares, or nil if it is not of the document's
// revision: the hashes in the document's root would then say nothing about its services.
func (a *Agent) held(doc tables.Document) *model.Topology {
	t := a.Config.Current()
	if t == nil || doc.Root == nil || doc.Root.Revision != t.Revision {
		return nil
	}
	return t
}

func baseOf(held *model.Topology, doc tables.Document) *configdoc.Base {
	if held == nil {
		return nil
	}
	return &configdoc.Base{Root: doc.Root, Inventory: held.Inventory}
}

func inventoryOf(held *model.Topology) *model.Inventory {
	if held == nil {
		return nil
	}
	return &held.Inventory
}

func (a *Agent) install(t *model.Topology, d tables.Document) {
	now := time.Now()
	if a.Config.Revision() == 0 {
		// The daemon is ready from here on. Without the members known by now it would hold itself to be the owner of all
		// servers of its zone until the next tick.
		a.refreshOwners(now)
	}
	a.ApplyTopology(t, now)
	a.markRecords(now)
	if !a.Config.InstallDocument(t, d) {
		return
	}
	a.Log.Info().Uint64("revision", uint64(t.Revision)).Str("editor", d.Root.Editor).Msg("config_in_force")
	n := peer.Notice{From: a.Members.Self(), InForce: d.Offer}
	a.tell(func(ctx context.Context, address string) error { return a.Peers.Notice(ctx, address, n) })
}

// loadRoot returns the decoded root, after pulling it if only its hash is known.
func (a *Agent) loadRoot(ctx context.Context, o *offer) (*configdoc.Root, error) {
	if o.root == nil {
		hash := configdoc.Hash(o.Root)
		values, err := a.pull(ctx, o.from, []configdoc.Hash{hash})
		o.root = unpacking(values)(hash)
		if o.root == nil && a.storeUp.Load() {
			o.root, err = a.readHead(ctx, hash)
		}
		if err != nil {
			return nil, err
		}
		if o.root == nil {
			return nil, errors.Wrapf(ErrMissing, "root %s", hash)
		}
	}
	root, err := configdoc.DecodeRoot(o.root)
	if err != nil {
		return nil, errors.Mark(err, ErrInvalid)
	}
	if root.Revision != o.Revision || root.Revision == 0 {
		return nil, errors.Wrapf(ErrInvalid, "root says revision %d, offered as %d", root.Revision, o.Revision)
	}
	return root, nil
}

// loadParts returns the packed values of the root's parts. It pulls what the revision in force has not got, from the peer that
// offered the root and then from the store.
func (a *Agent) loadParts(
	ctx context.Context, o offer, root *configdoc.Root, doc tables.Document,
) (map[configdoc.Hash][]byte, error) {
	values := make(map[configdoc.Hash][]byte, len(root.Parts)+1)
	for _, hash := range root.Parts {
		if v, ok := doc.Values[hash]; ok {
			values[hash] = v
		}
	}
	if o.from != "" {
		pulled, err := a.pull(ctx, o.from, missing(root, values))
		merge(values, pulled)
		if err != nil && !a.storeUp.Load() {
			return nil, err
		}
	}
	read, err := a.read(ctx, configdoc.PrefixParts, missing(root, values))
	merge(values, read)
	return values, err
}

// missing returns the hashes of the root's parts that values has not got.
func missing(root *configdoc.Root, values map[configdoc.Hash][]byte) []configdoc.Hash {
	var out []configdoc.Hash
	for _, name := range root.SortedParts() {
		if hash := root.Parts[name]; values[hash] == nil {
			out = append(out, hash)
		}
	}
	return out
}

func merge(into, from map[configdoc.Hash][]byte) {
	for hash, v := range from {
		into[hash] = v
	}
}

// reject records why an offer was not put in force. An invalid root is remembered, so that it is not pulled again from
// every peer that has it.
func (a *Agent) reject(o offer, err error) {
	if !errors.Is(err, ErrInvalid) {
		a.Log.Debug().Err(err).Uint64("revision", uint64(o.Revision)).Msg("config_unreadable")
		return
	}
	if _, known := a.invalid[o.Root]; known {
		return
	}
	if len(a.invalid) >= maxRejected {
		clear(a.invalid)
	}
	a.invalid[o.Root] = struct{}{}
	a.Config.Reject(tables.Rejection{Offer: o.Offer, Reason: err.Error(), At: time.Now()})
	a.Log.Error().Err(err).Uint64("revision", uint64(o.Revision)).Msg("config_rejected")
}
