package queryrpc

import (
	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/forwarding"
)

// ErrForwardingDisabled is returned if this daemon does not accept sub-requests of other daemons.
var ErrForwardingDisabled = errors.New("queryrpc: forwarding is off")

// Receiver accepts batches of forwarded sub-requests, results and cancellations.
type Receiver interface {
	// Receive queues a batch without waiting for its sub-requests.
	Receive(forwarding.Batch) forwarding.Receipt
}

// ForwardService accepts the batches that peers forward.
type ForwardService struct {
	receiver Receiver
}

// SetReceiver sets the receiver of forwarded batches. It must be called before the service is used.
func (s *ForwardService) SetReceiver(r Receiver) { s.receiver = r }

// Forward passes a batch to the receiver. It returns ErrForwardingDisabled if there is none.
func (s *ForwardService) Forward(b forwarding.Batch, reply *forwarding.Receipt) error {
	if s.receiver == nil {
		return ErrForwardingDisabled
	}
	*reply = s.receiver.Receive(b)
	return nil
}
