package query

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("trace", func() {
	lines := []string{
		"time=1 level=info event=server_ejected server=i-1 service=s0 status=cancelled",
		"time=2 level=info event=server_ejected server=i-9 service=s9 status=lost",
		"time=3 level=warn event=store_lost error=x",
		"time=4 level=info event=attempt_failed id=r1 server=i-2 service=s0 status=lost",
		"time=5 level=info event=request_answered id=r10 outcome=complete",
		`time=6 level=info event=request_answered id=r1 missing_services=["s0","s1"] outcome=partial`,
		"time=7 level=info event=server_ejected server=i-2 service=s0 status=lost",
	}

	// Guards against a trace that hides why a server was not used, or that shows events of servers the request did not use.
	It("returns the request's lines in order, with the earlier events of its servers and of the store", func() {
		Expect(trace(lines, "r1")).To(Equal([]string{lines[0], lines[2], lines[3], lines[5]}))
	})

	// Guards against lines of another request in the trace.
	It("does not match an id that only begins with the given one", func() {
		Expect(trace(lines, "r")).To(BeEmpty())
	})
})
