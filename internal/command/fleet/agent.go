package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/digest"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/pool"
	"oleandersill.example/oleandersill/internal/tables"
)

// Sizes of the queues and of the pool that sends notices. Offers and notices that do not fit into a full queue are dropped;
// later digests contain the same information.
const (
	offerQueueSize  = 64
	noticeQueueSize = 256
	noticeWorkers   = 4
)

// Peers calls other daemons by address.
type Peers interface {
	Digest(ctx context.Context, address string, d peer.Digest) (peer.Digest, error)
	Parts(ctx context.Context, address string, hashes []configdoc.Hash) (peer.PartsReply, error)
	Notice(ctx context.Context, address string, n peer.Notice) error
	Leaving(ctx context.Context, address string, l peer.Leaving) error
}

// Deps are the dependencies and settings of an Agent.
type Deps struct {
	Members    *tables.Members
	Departures *tables.Departures
	Owners     *tables.Owners
	Config     *tables.Config
	Servers    *tables.Servers
	Store      platform.Reader
	Instances  platform.InstanceList
	Peers      Peers
	// Seeds are addresses of peers from the settings, to start from while the platform is unreachable.
	Seeds []string
	// Validate returns an error for a configuration that must not be installed. The first inventory is the one in
	// force, whose unchanged services the second one shares, or nil.
	Validate func(*model.Inventory, model.Inventory, model.Rules) error
	// ApplyTopology is called with every Topology before it is installed.
	ApplyTopology func(*model.Topology, time.Time)
	// OwnersJoined, if set, is called with the daemons that may own servers from now on. It must not block.
	OwnersJoined func([]model.Member)
	// RandomSeed makes random choices reproducible. It must differ between daemons.
	RandomSeed uint64
	Log        zerolog.Logger
}

// Agent keeps a daemon's configuration, its table of other daemons and its marks of leaving servers up to date, by exchanges
// with other daemons and by calls to the platform. Create it with New.
type Agent struct {
	Deps
	digests       *digest.Builder
	offers        chan offer
	notices       chan func(context.Context)
	firstListDone chan struct{}
	// peersAnswered is closed once a peer has reported a revision in force, or peers have reported minEmptyAnswers times that
	// they have none.
	peersAnswered chan struct{}
	answeredOnce  sync.Once
	emptyAnswers  atomic.Int32
	started       time.Time
	reads         readLimiter
	invalidRoots  map[model.RootHash]struct{}
	cancelWatch   atomic.Pointer[context.CancelFunc]
	storeUp       atomic.Bool
	randomSources atomic.Uint64
	stop          context.CancelFunc
	wg            sync.WaitGroup
	pools         []*pool.Pool
	loopsCtx      context.Context //nolint:containedctx // the agent's own lifetime, ended by Close
}

// New returns an Agent that is not started.
func New(deps Deps) *Agent {
	a := &Agent{
		Deps:          deps,
		digests:       &digest.Builder{Members: deps.Members, Departures: deps.Departures, Config: deps.Config},
		offers:        make(chan offer, offerQueueSize),
		notices:       make(chan func(context.Context), noticeQueueSize),
		firstListDone: make(chan struct{}),
		peersAnswered: make(chan struct{}),
		started:       time.Now(),
		invalidRoots:  map[model.RootHash]struct{}{},
	}
	a.storeUp.Store(true)
	a.loopsCtx, a.stop = context.WithCancel(context.Background())
	return a
}

// Start starts the goroutines of the agent.
func (a *Agent) Start() {
	a.pools = []*pool.Pool{pool.Start(1, a.nextOffer), pool.Start(noticeWorkers, a.nextNotice)}
	for _, loop := range []func(context.Context){a.runExchanges, a.runWatch, a.runMemberList, a.runLeavingList} {
		a.wg.Go(func() { loop(a.loopsCtx) })
	}
}

// Close stops the agent and waits for its goroutines.
func (a *Agent) Close() {
	a.stop()
	a.wg.Wait()
	for _, p := range a.pools {
		p.Wait()
	}
}

// ObserveDigest records a peer's digest. It is called for the digests that peers send and for replies to this daemon's own.
func (a *Agent) ObserveDigest(d peer.Digest) {
	now := time.Now()
	a.Members.RecordContact(d.From, now)
	a.Members.Merge(d.Members[:min(len(d.Members), gossip.MaxExchangeEntries)], now)
	if contact := time.UnixMilli(d.StoreContactMs); d.StoreContactMs > 0 && !contact.After(now) {
		a.Config.RecordStoreContact(contact)
	}
	a.learnLeaving(d.Departures, now)
	a.learnRevision(d.From, d.InForce)
}

// ObserveNotice records a peer's notice of a new revision.
func (a *Agent) ObserveNotice(n peer.Notice) {
	a.Members.RecordContact(n.From, time.Now())
	a.learnRevision(n.From, n.InForce)
}

// ObserveLeaving records a peer's notice of leaving servers.
func (a *Agent) ObserveLeaving(l peer.Leaving) {
	now := time.Now()
	a.Members.RecordContact(l.From, now)
	a.learnLeaving(l.Departures, now)
}

// random returns a new random source for one goroutine or call.
func (a *Agent) random() *rand.Rand {
	return rand.New(rand.NewPCG(a.RandomSeed, a.randomSources.Add(1))) //nolint:gosec // the choice of peers needs no secrecy
}

func (a *Agent) nextOffer() (func(), bool) {
	select {
	case o := <-a.offers:
		return func() { a.processOffer(a.loopsCtx, o) }, true
	case <-a.loopsCtx.Done():
		return nil, false
	}
}

func (a *Agent) nextNotice() (func(), bool) {
	select {
	case notice := <-a.notices:
		return func() { notice(a.loopsCtx) }, true
	case <-a.loopsCtx.Done():
		return nil, false
	}
}

// notifyPeers queues a call to each of the peers that are chosen to get a notice.
func (a *Agent) notifyPeers(call func(ctx context.Context, address string) error) {
	targets := gossip.NoticeTargets(a.Members.Self(), a.Members.Snapshot(nil), time.Now(), a.random())
	for _, m := range targets {
		select {
		case a.notices <- func(ctx context.Context) { a.logNoticeFailure(call(ctx, m.Address), m) }:
		default:
		}
	}
}

func (a *Agent) logNoticeFailure(err error, m model.Member) {
	if err != nil {
		a.Log.Debug().Err(err).Str("peer", string(m.Instance)).Msg("peer_notice_failed")
	}
}
