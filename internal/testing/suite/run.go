package suite

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/lockorder"
)

// knownRedVariable holds the lines PACKAGE=SPEC that CI read from KNOWN-RED.txt.
const knownRedVariable = "OLEANDERSILL_KNOWN_RED"

// Run runs the specs of the package at path (as ./internal/name).
func Run(t *testing.T, path string) {
	t.Helper()
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
