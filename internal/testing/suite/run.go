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

// knownRedVariable names the environment variable with the lines PACKAGE=SPEC that CI has read from KNOWN-RED.txt. The specs
// whose text contains SPEC are skipped.
const knownRedVariable = "OLEANDERSILL_KNOWN_RED"

// Run runs the specs of the package at path, which has the form ./internal/name.
func Run(t *testing.T, path string) {
	t.Helper()
	currentTest = t
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
