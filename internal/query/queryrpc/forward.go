package queryrpc

import (
	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/forwarding"
)

// ErrForwardingDisabled means that this daemon takes no sub-requests of others.
var ErrForwardingDisabled = errors.New("queryrpc: forwarding is off")

// Receiver takes batches of forwarded sub-requests.
type Receiver interface {
	// Receive queues a batch and returns at once.
	Receive(forwarding.Batch) forwarding.Receipt
}

// ForwardService takes what peers forward.
type ForwardService struct {
	receiver Receiver
}

// SetReceiver sets what takes forwarded sub-requests. Call it before the service is used.
func (s *ForwardService) SetReceiver(r Receiver) { s.receiver = r }

// Forward takes a batch of sub-requests, results and cancellations.
func (s *ForwardService) Forward(b forwarding.Batch, reply *forwarding.Receipt) error {
	if s.receiver == nil {
		return ErrForwardingDisabled
	}
	*reply = s.receiver.Receive(b)
	return nil
}
