package intake

// Shares are the parts of a process's memory and file descriptors.
type Shares struct {
	// RuntimeBytes is the soft memory limit of the Go runtime; 0 means none.
	RuntimeBytes int64
	// CallerBytes is for what callers have sent and what waits to be read by them.
	CallerBytes int64
	// ReplyBytes is for replies of backend servers while they are read.
	ReplyBytes int64
	// PeerBytes is for messages of other daemons while they are read.
	PeerBytes int64
	// CallerConns, ReadyConns, PeerConns and MetricsConns bound the connections to each port.
	CallerConns, ReadyConns, PeerConns, MetricsConns int
}

const (
	mebibyte = 1 << 20
	// defaultMemoryBytes is assumed if the settings have no memory limit.
	defaultMemoryBytes = 256 * mebibyte
	// programBytes is the memory for the pages of the program file, which the runtime's limit does not include.
	programBytes = 16 * mebibyte
	// maxReplyBytes bounds the share of replies.
	maxReplyBytes = 32 * mebibyte

	// fileDescriptors is the number of descriptors that are reserved for files.
	fileDescriptors = 200
	// otherDescriptors is the number of descriptors for listeners, polling and logs.
	otherDescriptors = 16
	readyConns       = 32
	metricsConns     = 8
	maxPeerConns     = 2048
	// minConns is the least number of connections to the callers' and the peers' port.
	minConns = 16

	// ConnBytes is the memory of a connection without a request: net/http's buffers of 4 KB each for reading and writing, the stacks
	// of its goroutines, and the records of the connection.
	ConnBytes = 20 << 10
)

// Divide returns the shares of a process with the given memory limit and number of descriptors. A memory limit of 0 means that there
// is none.
//
// The resident memory of the process is to stay below three quarters of the limit. Of the part for the runtime, three eighths are for
// callers, a quarter for replies, an eighth for other daemons, and a quarter remains for the process itself.
func Divide(memoryBytes int64, descriptors int) Shares {
	limited := memoryBytes > 0
	if !limited {
		memoryBytes = defaultMemoryBytes
	}
	runtimeBytes := max(memoryBytes*3/4-programBytes, memoryBytes/4)
	s := Shares{
		CallerBytes: runtimeBytes * 3 / 8, ReplyBytes: min(runtimeBytes/4, maxReplyBytes), PeerBytes: runtimeBytes / 8,
		ReadyConns: readyConns, MetricsConns: metricsConns,
	}
	if limited {
		s.RuntimeBytes = runtimeBytes
	}
	// Half of the remaining descriptors are for callers, a quarter for other daemons, and a quarter for connections to servers, to
	// other daemons and to the store.
	rest := descriptors - min(fileDescriptors, descriptors/2) - otherDescriptors - readyConns - metricsConns
	s.PeerConns = min(max(rest/4, minConns), maxPeerConns)
	// A quarter of the callers' memory remains for requests if all connections are open.
	s.CallerConns = max(min(rest/2, int(s.CallerBytes*3/4/ConnBytes)), minConns)
	return s
}
