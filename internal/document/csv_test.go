package document_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/document"
	"oleandersill.example/oleandersill/internal/model"
)

const csvExport = `service,shard,Asset Tag,IP,zone,region,slots,connections,connection_cost_ms,owner
search,s0,a,10.0.0.1:7000,z1,north,2,25,5,x
search,s0,b,10.0.0.2:7000,z1,north,2,25,5,x
search,s1,c,10.0.0.3:7000,z1,north,2,25,2.5,"x, y"
`

func csvOptions() document.CSVOptions {
	return document.CSVOptions{MaxInstances: 8, Headers: map[document.Column]string{
		document.ColumnServer: "Asset Tag", document.ColumnAddress: "IP",
	}}
}

var _ = Describe("importing an asset register's export", func() {
	// Guards against a byte order mark that becomes part of the first header, and against shards without a key range.
	It("creates an inventory and divides the key space evenly", func() {
		inv, problems := document.ImportCSV("a.csv", []byte("\xef\xbb\xbf"+csvExport), csvOptions())
		Expect(problems).To(BeEmpty())
		Expect(inv.Services).To(HaveLen(1))
		shards := inv.Services[0].Shards
		Expect(shards).To(HaveLen(2))
		Expect(shards[0].Servers).To(HaveLen(2))
		Expect(shards[1].KeyFrom).To(Equal(model.KeySpace / 2))
		Expect(shards[1].Servers[0].ConnectionCostMs).To(Equal(2.5))
	})

	// Guards against a fault that is accepted or reported for a line other than its own.
	DescribeTable("reports the line and the field of a fault",
		func(old, replacement, want string) {
			_, problems := document.ImportCSV("a.csv", replaceOnce(csvExport, old, replacement), csvOptions())
			Expect(problems.Error()).To(ContainSubstring(want))
		},
		Entry("missing header", "Asset Tag", "Asset", `a.csv:1: server: there is no header "Asset Tag" (allowed: service, shard, Asset,`),
		Entry("not a number", "z1,north,2,", "z1,north,two,", `a.csv:2: slots: is "two" (allowed: a whole number)`),
		Entry("row too short", ",25,5,x\nsearch,s0,b", ",25,5\nsearch,s0,b", "a.csv:2: the row has 9 fields (allowed: 10)"),
		Entry("unclosed quote", `"x, y"`, `"x, y`, "a.csv:4: "),
		Entry("two regions of a zone", "z1,north,2,25,2.5", "z1,south,2,25,2.5", `a.csv:4: region: is "south", but an earlier row says "north"`),
		Entry("duplicate server", "s1,c,", "s1,b,", `a.csv:4: services[0].shards[1].servers[0].name: server "b" is also at`),
		Entry("host name", "10.0.0.3:7000", "host:7000", `a.csv:4: services[0].shards[1].servers[0].address: is "host:7000"`),
		Entry("empty document", csvExport, "", "a.csv:1: the document is empty"),
	)
})
