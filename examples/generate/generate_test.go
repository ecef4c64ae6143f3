package main

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/document"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestGenerate(t *testing.T) { suite.Run(t, "./examples/generate") }

var _ = Describe("the example files", func() {
	read := func(parts ...string) []byte {
		data, err := os.ReadFile(filepath.Join(append([]string{".."}, parts...)...))
		Expect(err).NotTo(HaveOccurred())
		return data
	}

	// Guards against example files that were edited by hand, or not generated again after a change of the generator.
	It("are valid and equal to the generator's output", func() {
		for _, c := range customers() {
			inv, problems := document.DecodeInventory("inventory.yaml", read(c.name, "inventory.yaml"))
			Expect(problems).To(BeEmpty(), c.name)
			Expect(inv).To(Equal(c.inventory()))
			_, problems = document.DecodeRules("rules.yaml", read(c.name, "rules.yaml"))
			Expect(problems).To(BeEmpty(), c.name)
			for name, data := range c.files() {
				Expect(read(c.name, name)).To(Equal(data), name)
			}
		}
	})

	// Guards against an import that loses or changes fields of the export.
	It("yield the same inventory when the asset register's export is imported", func() {
		inv, problems := document.ImportCSV("assets.csv", read("dalisay", "assets.csv"), document.CSVOptions{
			MaxInstances: maxInstances, SurgeInstances: surgeInstances,
			Headers: map[document.Column]string{
				document.ColumnService: "Service", document.ColumnShard: "Shard", document.ColumnServer: "Asset Tag",
				document.ColumnAddress: "IP and Port", document.ColumnZone: "Site", document.ColumnRegion: "Region",
				document.ColumnSlots: "Slots", document.ColumnConnections: "Max Connections",
				document.ColumnConnectionCostMs: "Connect ms", document.ColumnLeaving: "Decommissioning",
			},
		})
		Expect(problems).To(BeEmpty())
		Expect(inv).To(Equal(customers()[0].inventory()))
	})
})
