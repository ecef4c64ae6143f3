package scatter_test

import (
	"slices"

	. "github.com/onsi/ginkgo/v2"

	"oleandersill.example/oleandersill/internal/testing/suite"
)

// openedInBubble holds the functions that close what a spec has opened in its bubble.
var openedInBubble []func()

// bubbleActive is true while a part of a spec runs in a bubble.
var bubbleActive bool

// closeAtEnd calls closeOne at the end of the bubble, or of the spec if it runs outside of one.
func closeAtEnd(closeOne func()) {
	if bubbleActive {
		openedInBubble = append(openedInBubble, closeOne)
		return
	}
	DeferCleanup(closeOne)
}

// bubbled returns a spec that runs in a synctest bubble, so that its times do not depend on the load of the machine.
func bubbled(spec func()) func() { return func() { inBubble(spec) } }

// inBubble runs a part of a spec in a synctest bubble and closes what it has opened. Unlike suite.InBubble it allows assertions.
func inBubble(spec func()) {
	suite.InBubble(func() {
		bubbleActive = true
		defer func() { bubbleActive = false }()
		defer closeOpened()
		defer GinkgoRecover()
		spec()
	})
}

func closeOpened() {
	for _, closeOne := range slices.Backward(openedInBubble) {
		closeOne()
	}
	openedInBubble = nil
}
