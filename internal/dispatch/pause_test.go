package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/testing/fakebackend"
)

var _ = Describe("a batch that is read just after this process was paused", func() {
	const pauseLength = time.Second
	batch := func(from *node, attempt uint32, left time.Duration) forwarding.Batch {
		return forwarding.Batch{From: from.self, Queries: []forwarding.Query{{
			Server: serverName, Rank: model.RankUrgent, Left: left,
			Request: backend.QueryRequest{ID: backend.AttemptID{Request: "r", Incarnation: 1, Attempt: attempt}, Shard: "s", Limit: 1},
		}}}
	}

	It("is not sent if its time may have passed meanwhile, and one with more time is", func() {
		// Guards against requests that reach servers seconds after their callers have left, with all of their time.
		requester, owner := newPair(fakebackend.Script{})
		resume := make(chan struct{})
		// The timer, whose goroutine ticks, stands for the whole process.
		owner.Timer.Schedule(time.Now(), func() { <-resume })
		time.Sleep(pauseLength)
		owner.forwarding.Receive(batch(requester, 1, pauseLength/2))
		owner.forwarding.Receive(batch(requester, 2, 10*pauseLength))
		close(resume)
		Eventually(func() int { return owner.connector.Queries(serverName) }).Should(Equal(1))
		Consistently(func() int { return owner.connector.Queries(serverName) }).WithTimeout(pauseLength / 2).Should(Equal(1))
		owner.forwarding.Receive(batch(requester, 3, pauseLength/2))
		Eventually(func() int { return owner.connector.Queries(serverName) }).Should(Equal(2))
	})
})
