package suite

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/lockorder"
)

// knownRedVariable holds the lines PACKAGE=SPEC that CI read from KNOWN-RED.txt.
const knownRedVariable = "OLEANDERSILL_KNOWN_RED"

// running is the test of the package whose specs run; a test binary runs one suite.
var running *testing.T

// InBubble runs a scenario on a virtual clock, which moves only when all goroutines of the scenario wait. Assertions belong
// outside of it: one that fails inside ends the test binary.
func InBubble(scenario func()) { synctest.Test(running, func(*testing.T) { scenario() }) }

// Run runs the specs of the package at path (as ./internal/name).
func Run(t *testing.T, path string) {
	t.Helper()
	running = t
	lockorder.EnableCheck()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suiteConfig, reporterConfig := ginkgo.GinkgoConfiguration()
	for line := range strings.Lines(os.Getenv(knownRedVariable)) {
		if pkg, spec, ok := strings.Cut(strings.TrimSpace(line), "="); ok && pkg == path {
			suiteConfig.SkipStrings = append(suiteConfig.SkipStrings, regexp.QuoteMeta(spec))
		}
	}
	ginkgo.RunSpecs(t, path, suiteConfig, reporterConfig)
}
