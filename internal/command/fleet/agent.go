package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/decision/spread"
	"oleandersill.example/oleandersill/internal/digest"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/pool"
	"oleandersill.example/oleandersill/internal/tables"
)

// Sizes of the queues and of the pool that sends notices. A full queue drops news, which digests bring again.
const (
	offerQueue  = 64
	sendQueue   = 256
	sendWorkers = 4
)

// Peers calls other daemons by address.
type Peers interface {
	Digest(ctx context.Context, address string, d peer.Digest) (peer.Digest, error)
	Parts(ctx context.Context, address string, hashes []configdoc.Hash) (peer.PartsReply, error)
	Notice(ctx context.Context, address string, n peer.Notice) error
	Leaving(ctx context.Context, address string, l peer.Leaving) error
}

// Deps are what an Agent works on.
type Deps struct {
	Members    *tables.Members
	Departures *tables.Departures
	Owners     *tables.Owners
	Config     *tables.Config
	Servers    *tables.Servers
	Store      platform.Reader
	Instances  platform.InstanceList
	Peers      Peers
	// Seeds are peers' addresses to start from while the platform is unreachable.
	Seeds []string
	// Validate returns an error for a configuration that must not be put in force. The first inventory is the one in
	// force, whose unchanged services the second one shares, or nil.
	Validate func(*model.Inventory, model.Inventory, model.Rules) error
	// ApplyTopology is called with every Topology before it is put in force.
	ApplyTopology func(*model.Topology, time.Time)
	// OwnersJoined, if set, is called with the daemons that may own servers from now on. It must not block.
	OwnersJoined func([]model.Member)
	// RandomSeed makes the choices reproducible; daemons must have different ones.
	RandomSeed uint64
	Log        zerolog.Logger
}

// Agent is this daemon's part in the fleet. Create it with New.
type Agent struct {
	Deps
	digests *digest.Builder
	offers  chan offer
	sends   chan func(context.Context)
	listed  chan struct{}
	// informed is closed once a peer has told of a revision in force, or peers without one have told so enoughAnswers times.
	informed chan struct{}
	inform   sync.Once
	answers  atomic.Int32
	started  time.Time
	budget   readBudget
	invalid  map[model.RootHash]struct{}
	rewatch  atomic.Pointer[context.CancelFunc]
	storeUp  atomic.Bool
	draws    atomic.Uint64
	stop     context.CancelFunc
	wg       sync.WaitGroup
	pools    []*pool.Pool
	loopsCtx context.Context //nolint:containedctx // the agent's own lifetime, ended by Close
}

// New returns an agent that has not started.
func New(deps Deps) *Agent {
	a := &Agent{
		Deps:     deps,
		digests:  &digest.Builder{Members: deps.Members, Departures: deps.Departures, Config: deps.Config},
		offers:   make(chan offer, offerQueue),
		sends:    make(chan func(context.Context), sendQueue),
		listed:   make(chan struct{}),
		informed: make(chan struct{}),
		started:  time.Now(),
		invalid:  map[model.RootHash]struct{}{},
	}
	a.storeUp.Store(true)
	a.loopsCtx, a.stop = context.WithCancel(context.Background())
	return a
}

// Start starts the agent.
func (a *Agent) Start() {
	a.pools = []*pool.Pool{pool.Start(1, a.nextOffer), pool.Start(sendWorkers, a.nextSend)}
	for _, loop := range []func(context.Context){a.runExchanges, a.runWatch, a.runMemberList, a.runLeavingList} {
		a.wg.Go(func() { loop(a.loopsCtx) })
	}
}

// Close ends the agent.
func (a *Agent) Close() {
	a.stop()
	a.wg.Wait()
	for _, p := range a.pools {
		p.Wait()
	}
}

// ObserveDigest records what a peer's digest tells. It is called by the peers' queries and after each own exchange.
func (a *Agent) ObserveDigest(d peer.Digest) {
	now := time.Now()
	a.Members.RecordContact(d.From, now)
	a.Members.Merge(d.Members[:min(len(d.Members), spread.MaxExchangeEntries)], now)
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

// random returns a random source for one loop or call.
func (a *Agent) random() *rand.Rand {
	return rand.New(rand.NewPCG(a.RandomSeed, a.draws.Add(1))) //nolint:gosec // the choice of peers needs no secrecy
}

func (a *Agent) nextOffer() (func(), bool) {
	select {
	case o := <-a.offers:
		return func() { a.process(a.loopsCtx, o) }, true
	case <-a.loopsCtx.Done():
		return nil, false
	}
}

func (a *Agent) nextSend() (func(), bool) {
	select {
	case send := <-a.sends:
		return func() { send(a.loopsCtx) }, true
	case <-a.loopsCtx.Done():
		return nil, false
	}
}

// tell queues a call to each of the peers that are to hear news.
func (a *Agent) tell(call func(ctx context.Context, address string) error) {
	targets := spread.NoticeTargets(a.Members.Self(), a.Members.Snapshot(nil), time.Now(), a.random())
	for _, m := range targets {
		select {
		case a.sends <- func(ctx context.Context) { a.logFailure(call(ctx, m.Address), m) }:
		default:
		}
	}
}

func (a *Agent) logFailure(err error, m model.Member) {
	if err != nil {
		a.Log.Debug().Err(err).Str("peer", string(m.Instance)).Msg("peer_notice_failed")
	}
}
