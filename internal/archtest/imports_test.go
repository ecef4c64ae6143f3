package archtest

import (
	"encoding/json"
	"errors"
	"io"
	"os/exec"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/testing/suite"
)

const module = "oleandersill.example/oleandersill/"

func TestArch(t *testing.T) { suite.Run(t, "./internal/archtest") }

// listedPackage is the part of the output of go list -json that the tests need.
type listedPackage struct {
	ImportPath string
	Deps       []string
	Imports    []string
}

// listPackages returns all packages of the module.
func listPackages() []listedPackage {
	out, err := exec.Command("go", "list", "-json=ImportPath,Deps,Imports", module+"...").Output()
	Expect(err).NotTo(HaveOccurred())
	dec := json.NewDecoder(strings.NewReader(string(out)))
	var packages []listedPackage
	for {
		var p listedPackage
		err := dec.Decode(&p)
		if errors.Is(err, io.EOF) {
			return packages
		}
		Expect(err).NotTo(HaveOccurred())
		packages = append(packages, p)
	}
}

// expectNoDependency checks that no package under tree depends on a package under forbidden, directly or indirectly.
func expectNoDependency(packages []listedPackage, tree, forbidden string) {
	GinkgoHelper()
	for _, p := range packages {
		if !strings.HasPrefix(p.ImportPath, tree) {
			continue
		}
		for _, dep := range p.Deps {
			Expect(dep).NotTo(HavePrefix(forbidden), p.ImportPath)
		}
	}
}

var _ = Describe("package dependencies", func() {
	packages := []listedPackage{}
	BeforeEach(func() { packages = listPackages() })

	// Guards against commands that depend on queries or the other way round, request dispatch that depends on either, and a
	// daemon that depends on a stand-in.
	DescribeTable("packages under one tree do not depend on the other",
		func(tree, forbidden string) { expectNoDependency(packages, module+tree, module+forbidden) },
		Entry("commands on queries", "internal/command", "internal/query"),
		Entry("queries on commands", "internal/query", "internal/command"),
		Entry("the tool's commands on its queries", "internal/cli/command", "internal/cli/query"),
		Entry("the tool's commands on queries", "internal/cli/command", "internal/query"),
		Entry("the tool's queries on its commands", "internal/cli/query", "internal/cli/command"),
		Entry("the tool's queries on commands", "internal/cli/query", "internal/command"),
		Entry("dispatch on queries", "internal/dispatch", "internal/query"),
		Entry("dispatch on commands", "internal/dispatch", "internal/command"),
		Entry("the driver's commands on its queries", "internal/measure/cluster", "internal/measure/observe"),
		Entry("the driver's queries on its commands", "internal/measure/observe", "internal/measure/cluster"),
		Entry("the daemon's code on the stand-ins", "internal/daemon", "internal/standin"),
	)

	// Guards against decisions that cannot be used with another front end or another message encoding.
	It("does not allow decisions to import encodings, network, locks, contexts, the operating system or logging", func() {
		for _, p := range packages {
			if !strings.HasPrefix(p.ImportPath, module+"internal/decision") {
				continue
			}
			for _, imported := range p.Imports {
				Expect(imported).NotTo(BeElementOf("net", "net/http", "net/rpc", "encoding/json", "encoding/gob",
					"sync", "sync/atomic", "context", "os", "github.com/rs/zerolog"), p.ImportPath)
			}
		}
	})
})
