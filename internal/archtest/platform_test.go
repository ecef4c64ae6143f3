package archtest

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	platformTree   = module + "platform"
	platformMain   = module + "cmd/oleandersill-platform"
	repositoryRoot = "../.."
)

// platformNames matches names of the platform's wire protocol that only the adapter may use.
var platformNames = regexp.MustCompile(`X-Request-Id|X-Time-Remaining|X-Response-Stamp|X-Expected-Instance|X-Instance-Id|` +
	`X-Server-Load|X-Not-Executed|X-Part-Stamps|X-Missing-Parts|/kv-|op/config|op/evacuate|fan_out_services|traffic_split|` +
	`minimum_coverage|cold_remaining|X-Credential|X-Tenant|api_keys|allowed_regions|cold_per_s|OLEANDERSILL_CONFIG`)

var _ = Describe("the platform adapter", func() {
	// Guards against code that depends on the platform's adapter.
	It("is imported only by its own tree and its main package", func() {
		for _, p := range listPackages() {
			if strings.HasPrefix(p.ImportPath, platformTree) || p.ImportPath == platformMain {
				continue
			}
			for _, imported := range p.Imports {
				Expect(imported).NotTo(HavePrefix(platformTree), p.ImportPath)
			}
		}
	})

	// Guards against commands that depend on queries or the other way round, and a daemon that depends on the stand-in.
	DescribeTable("keeps commands, queries, the daemon and the stand-in separate",
		func(tree, forbidden string) {
			expectNoDependency(listPackages(), platformTree+tree, platformTree+forbidden)
		},
		Entry("store queries on store commands", "/storequery", "/storecommand"),
		Entry("store commands on store queries", "/storecommand", "/storequery"),
		Entry("idempotent routes on other routes", "/ingress/query", "/ingress/command"),
		Entry("other routes on idempotent routes", "/ingress/command", "/ingress/query"),
		Entry("the daemon on the stand-in", "/daemon", "/standin"),
	)

	// Guards against use of the platform's wire protocol outside of the adapter. The last check guards against a walk that reads
	// no files.
	It("is the only code with names of the platform's wire protocol", func() {
		fileCount := 0
		for _, tree := range []string{"internal", "cmd", "examples"} {
			err := filepath.WalkDir(filepath.Join(repositoryRoot, tree), func(path string, entry os.DirEntry, err error) error {
				if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.Contains(path, "archtest") {
					return err
				}
				source, err := os.ReadFile(path)
				fileCount++
				Expect(platformNames.FindString(string(source))).To(BeEmpty(), path)
				return err
			})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(fileCount).To(BeNumerically(">", 100))
	})
})
