package directory_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/model"
)

var _ = Describe("the time until which a server is cold", func() {
	begin := time.Unix(1000, 0)
	var d *directory.Directory
	revision := directory.Revision(0)
	put := func(after, warmUp time.Duration) time.Time {
		revision++
		d.Put(directory.Entry{
			Registration: model.Registration{Name: "i", WarmUp: warmUp, Started: 1}, Revision: revision, ReadAt: begin.Add(after),
		})
		return d.ColdUntil()["i"]
	}
	BeforeEach(func() { d = directory.New(time.Second) })

	It("stays the same while heartbeats state the same end", func() {
		// Guards against records that are replaced with each heartbeat of a cold server.
		until := put(0, 10*time.Second)
		Expect(put(2*time.Second+30*time.Millisecond, 8*time.Second)).To(Equal(until))
		Expect(put(4*time.Second, 5980*time.Millisecond)).To(Equal(until))
	})

	It("follows an entry that states another end", func() {
		// Guards against a server that turns cold again, or warm early, without effect.
		until := put(0, 10*time.Second)
		Expect(put(2*time.Second, 10*time.Second)).To(BeTemporally(">", until))
		Expect(put(3*time.Second, 0)).To(BeZero())
	})
})
