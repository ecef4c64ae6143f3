package suite

import (
	"slices"
	"testing"
	"testing/synctest"

	"github.com/onsi/ginkgo/v2"
)

// currentTest is the test that runs the specs; a test binary runs one suite.
var currentTest *testing.T

// InBubble runs a scenario in a synctest bubble, with a virtual clock that advances only while all goroutines of the scenario
// are blocked. Make assertions outside of it: one that fails inside ends the test binary.
func InBubble(scenario func()) { synctest.Test(currentTest, func(*testing.T) { scenario() }) }

// openedInBubble holds the functions that close what a spec has opened in its bubble.
var openedInBubble []func()

// specBubble is true while a part of a spec runs in a bubble.
var specBubble bool

// Bubbled returns a spec that runs in a synctest bubble, so that its times do not depend on the load of the machine.
func Bubbled(spec func()) func() { return func() { SpecInBubble(spec) } }

// SpecInBubble runs a part of a spec in a synctest bubble and then closes what was passed to CloseAtEnd. Unlike InBubble it
// allows assertions.
func SpecInBubble(spec func()) {
	InBubble(func() {
		specBubble = true
		defer func() { specBubble = false }()
		defer closeOpened()
		defer ginkgo.GinkgoRecover()
		spec()
	})
}

// CloseAtEnd calls closeOne at the end of the bubble, or of the spec if it runs outside of one.
func CloseAtEnd(closeOne func()) {
	if specBubble {
		openedInBubble = append(openedInBubble, closeOne)
		return
	}
	ginkgo.DeferCleanup(closeOne)
}

func closeOpened() {
	for _, closeOne := range slices.Backward(openedInBubble) {
		closeOne()
	}
	openedInBubble = nil
}
