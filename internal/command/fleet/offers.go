package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/tables"
)

// ErrInvalid means that a configuration is complete and must not be installed.
var ErrInvalid = errors.New("fleet: invalid configuration")

// ErrMissing means that neither the peer nor the store returned a value.
var ErrMissing = errors.New("fleet: value missing")

// maxInvalidRoots limits the roots that are remembered as invalid.
const maxInvalidRoots = 64

// offer is a revision that a peer or the store has.
type offer struct {
	model.Offer
	// address is the address of the peer that has it, or "" for the store.
	address string
	// encodedRoot is the encoded root, or nil if only its hash is known.
	encodedRoot []byte
	// done receives the result of processing, unless it is nil.
	done chan error
}

// minEmptyAnswers is the number of answers from peers without a configuration after which a starting daemon no longer waits
// for a peer that has one, since the whole fleet is probably starting.
const minEmptyAnswers = 2

// learnRevision queues the revision that a peer has in force as an offer, and records that the peer answered. The offer is
// queued first, so that it is processed before the offer of a goroutine that waits for peers to answer.
func (a *Agent) learnRevision(m model.Member, o model.Offer) {
	a.queueOffer(m, o)
	if o.Revision > 0 || a.emptyAnswers.Add(1) >= minEmptyAnswers {
		a.answeredOnce.Do(func() { close(a.peersAnswered) })
	}
}

// queueOffer queues the revision that a peer has in force, unless it is older than the one in force here or the same.
func (a *Agent) queueOffer(m model.Member, o model.Offer) {
	if gossip.CompareOffer(a.Config.Document().Offer, o) == gossip.Ignore {
		return
	}
	select {
	case a.offers <- offer{Offer: o, address: m.Address}:
	default:
	}
}

// processOffer processes one offer. A single worker processes all offers, so that several offers of a revision cost one pull.
func (a *Agent) processOffer(ctx context.Context, o offer) {
	err := a.applyOffer(ctx, o)
	if err != nil {
		a.rejectOffer(o, err)
	}
	if o.done != nil {
		o.done <- err
	}
}

func (a *Agent) applyOffer(ctx context.Context, o offer) error {
	doc := a.Config.Document()
	switch gossip.CompareOffer(doc.Offer, o.Offer) {
	case gossip.Accept:
	case gossip.Conflict:
		return errors.Wrapf(ErrInvalid, "another root of revision %d is in force", o.Revision)
	case gossip.Ignore:
		return nil
	}
	if _, known := a.invalidRoots[o.Root]; known {
		return nil
	}
	return a.fetchAndInstall(ctx, o, doc)
}

// fetchAndInstall gets the offered revision, validates it and installs it.
func (a *Agent) fetchAndInstall(ctx context.Context, o offer, doc tables.Document) error {
	root, err := a.loadRoot(ctx, &o)
	if err != nil {
		return err
	}
	values, err := a.loadParts(ctx, o, root, doc)
	if err != nil {
		return err
	}
	if absent := missingParts(root, values); len(absent) > 0 {
		return errors.Wrapf(ErrMissing, "%d parts of revision %d", len(absent), root.Revision)
	}
	base := a.baseTopology(doc)
	inv, rules, err := configdoc.JoinIncremental(configBase(base, doc), root, unpackFrom(values))
	if err != nil {
		return errors.Mark(err, ErrInvalid)
	}
	if err := a.Validate(inventoryOf(base), inv, rules); err != nil {
		return errors.Mark(err, ErrInvalid)
	}
	values[configdoc.Hash(o.Root)] = configdoc.Pack(o.encodedRoot)
	a.install(model.NewTopologyWithBase(base, root.Revision, inv, rules), tables.Document{Root: root, Offer: o.Offer, Values: values})
	return nil
}

// unpackFrom returns a function that unpacks the value of a hash, or returns nil if the value is missing or corrupt.
func unpackFrom(values map[configdoc.Hash][]byte) func(configdoc.Hash) []byte {
	return func(h configdoc.Hash) []byte {
		value, err := configdoc.Unpack(h, values[h])
		if err != nil {
			return nil
		}
		return value
	}
}

// baseTopology returns the Topology in force, whose unchanged services a new one shares, or nil if it is not of the document's
// revision, since the hashes in the document's root would then not describe its services.
func (a *Agent) baseTopology(doc tables.Document) *model.Topology {
	t := a.Config.Current()
	if t == nil || doc.Root == nil || doc.Root.Revision != t.Revision {
		return nil
	}
	return t
}

func configBase(base *model.Topology, doc tables.Document) *configdoc.Base {
	if base == nil {
		return nil
	}
	return &configdoc.Base{Root: doc.Root, Inventory: base.Inventory}
}

func inventoryOf(base *model.Topology) *model.Inventory {
	if base == nil {
		return nil
	}
	return &base.Inventory
}

func (a *Agent) install(t *model.Topology, d tables.Document) {
	now := time.Now()
	if a.Config.Revision() == 0 {
		// The daemon becomes ready with this Topology. Without the members known so far it would consider itself the owner
		// of all servers of its zone until the next tick.
		a.refreshOwners(now)
	}
	a.ApplyTopology(t, now)
	a.markLeavingServers(now)
	if !a.Config.InstallDocument(t, d) {
		return
	}
	a.Log.Info().Uint64("revision", uint64(t.Revision)).Str("editor", d.Root.Editor).Msg("config_in_force")
	n := peer.Notice{From: a.Members.Self(), InForce: d.Offer}
	a.notifyPeers(func(ctx context.Context, address string) error { return a.Peers.Notice(ctx, address, n) })
}

// loadRoot returns the decoded root, after pulling it if only its hash is known.
func (a *Agent) loadRoot(ctx context.Context, o *offer) (*configdoc.Root, error) {
	if o.encodedRoot == nil {
		hash := configdoc.Hash(o.Root)
		values, err := a.pullFromPeer(ctx, o.address, []configdoc.Hash{hash})
		o.encodedRoot = unpackFrom(values)(hash)
		if o.encodedRoot == nil && a.storeUp.Load() {
			o.encodedRoot, err = a.readHead(ctx, hash)
		}
		if err != nil {
			return nil, err
		}
		if o.encodedRoot == nil {
			return nil, errors.Wrapf(ErrMissing, "root %s", hash)
		}
	}
	root, err := configdoc.DecodeRoot(o.encodedRoot)
	if err != nil {
		return nil, errors.Mark(err, ErrInvalid)
	}
	if root.Revision != o.Revision || root.Revision == 0 {
		return nil, errors.Wrapf(ErrInvalid, "root says revision %d, offered as %d", root.Revision, o.Revision)
	}
	return root, nil
}

// loadParts returns the packed values of the root's parts. Values that the revision in force does not have are pulled from the
// peer that offered the root, and what is then still missing is read from the store.
func (a *Agent) loadParts(
	ctx context.Context, o offer, root *configdoc.Root, doc tables.Document,
) (map[configdoc.Hash][]byte, error) {
	values := make(map[configdoc.Hash][]byte, len(root.Parts)+1)
	for _, hash := range root.Parts {
		if v, ok := doc.Values[hash]; ok {
			values[hash] = v
		}
	}
	if o.address != "" {
		pulled, err := a.pullFromPeer(ctx, o.address, missingParts(root, values))
		merge(values, pulled)
		if err != nil && !a.storeUp.Load() {
			return nil, err
		}
	}
	read, err := a.readFromStore(ctx, configdoc.PrefixParts, missingParts(root, values))
	merge(values, read)
	return values, err
}

// missingParts returns the hashes of the root's parts that are not in values.
func missingParts(root *configdoc.Root, values map[configdoc.Hash][]byte) []configdoc.Hash {
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

// rejectOffer records why an offer was not installed. An invalid root is remembered, so that it is not pulled again from
// every peer that has it.
func (a *Agent) rejectOffer(o offer, err error) {
	if !errors.Is(err, ErrInvalid) {
		a.Log.Debug().Err(err).Uint64("revision", uint64(o.Revision)).Msg("config_unreadable")
		return
	}
	if _, known := a.invalidRoots[o.Root]; known {
		return
	}
	if len(a.invalidRoots) >= maxInvalidRoots {
		clear(a.invalidRoots)
	}
	a.invalidRoots[o.Root] = struct{}{}
	a.Config.Reject(tables.Rejection{Offer: o.Offer, Reason: err.Error(), At: time.Now()})
	a.Log.Error().Err(err).Uint64("revision", uint64(o.Revision)).Msg("config_rejected")
}
