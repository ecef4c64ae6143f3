package document_test

import (
	"math"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/document"
	"oleandersill.example/oleandersill/internal/validation"
)

const inventoryYAML = `max_instances: 8
surge_instances: 2
zones:
  - {name: z1, region: north}
services:
  - name: search
    shard_map_epoch: 1
    shards:
      - name: s0
        key_from: 0
        key_to: 30000
        servers:
          - {name: a, address: "10.0.0.1:7000", zone: z1, slots: 2, connections: 25, connection_cost_ms: 5}
      - name: s1
        key_from: 30000
        key_to: 65536
        servers:
          - {name: b, address: "10.0.0.2:7000", zone: z1, slots: 2, connections: 25, connection_cost_ms: 5}
`

const rulesYAML = `ranks:
  - {rank: urgent, min_share: 0.5, target_ms: 100, max_queue_ms: 20}
  - {rank: standard, min_share: 0.3, target_ms: 200, max_queue_ms: 50}
  - {rank: deferred, min_share: 0.1, target_ms: 500, max_queue_ms: 100}
callers:
  - {caller: app, rank: urgent}
hedge: {max_ratio: 0.05, window_ms: 10000, quantile: 0.95, min_delay_ms: 5}
retry: {max_ratio: 0.1, window_ms: 10000, max_attempts: 3}
deadlines: {default_ms: 150, max_ms: 2000}
`

// replaceOnce replaces the first occurrence of a text in a valid document.
func replaceOnce(doc, old, replacement string) []byte {
	Expect(doc).To(ContainSubstring(old))
	return []byte(strings.Replace(doc, old, replacement, 1))
}

// Guards against a fault that is accepted, and against a message from which an operator cannot tell where the fault is and how
// to correct it.
var _ = DescribeTable("decoding a faulty inventory reports the fault",
	func(old, replacement, want string) {
		_, problems := document.DecodeInventory("inv.yaml", replaceOnce(inventoryYAML, old, replacement))
		Expect(strings.Split(problems.Error(), "\n")).To(ContainElement(HavePrefix(want)))
	},
	Entry("unknown field", "max_instances: 8", "max_instance: 8", "inv.yaml:1: max_instance: unknown field (allowed: max_instances,"),
	Entry("field given twice", "surge_instances: 2", "max_instances: 2", "inv.yaml:2: max_instances: the field is given twice"),
	Entry("wrong type", "slots: 2", "slots: two", `inv.yaml:13: services[0].shards[0].servers[0].slots: is "two" (allowed: a whole number)`),
	Entry("null", "key_to: 30000", "key_to:", `inv.yaml:11: services[0].shards[0].key_to: is "" (allowed: a whole number)`),
	Entry("alias", "{name: z1, region: north}", "&z {name: z1, region: north}\n  - *z", "inv.yaml:5: zones[1]: aliases are not supported (allowed: a mapping)"),
	Entry("syntax", "zones:", "zones: [", "inv.yaml:"),
	Entry("second document", "max_instances: 8", "---\nmax_instances: 8\n---\n", "inv.yaml:3: more than one document (allowed: one document)"),
	Entry("duplicate zone", "  - {name: z1, region: north}", "  - {name: z1, region: north}\n  - {name: z1, region: south}", `inv.yaml:5: zones[1].name: zone "z1" is named twice`),
	Entry("duplicate shard", "name: s1", "name: s0", `inv.yaml:14: services[0].shards[1].name: shard "s0" is named twice in its service`),
	Entry("duplicate server", "{name: b", "{name: a", `inv.yaml:18: services[0].shards[1].servers[0].name: server "a" is also at services[0].shards[0].servers[0]`),
	Entry("duplicate address", "10.0.0.2", "10.0.0.1", "inv.yaml:18: services[0].shards[1].servers[0].address: address 10.0.0.1:7000 is also at"),
	Entry("dangling zone", "zone: z1, slots", "zone: z9, slots", `inv.yaml:13: services[0].shards[0].servers[0].zone: zone "z9" does not exist (allowed: a name of zones)`),
	Entry("value out of range", "slots: 2", "slots: 0", "inv.yaml:13: services[0].shards[0].servers[0].slots: is 0 (allowed: 1 to 10000)"),
	Entry("host name", "10.0.0.1:7000", "localhost:7000", `inv.yaml:13: services[0].shards[0].servers[0].address: is "localhost:7000" (allowed: IP address and port`),
	Entry("no port", "10.0.0.1:7000", "10.0.0.1:0", `inv.yaml:13: services[0].shards[0].servers[0].address: is "10.0.0.1:0"`),
	Entry("overlap", "key_from: 30000", "key_from: 29000", `inv.yaml:15: services[0].shards[1].key_from: is 29000, which overlaps shard "s0" (allowed: 30000)`),
	Entry("gap", "key_from: 30000", "key_from: 30001", "inv.yaml:15: services[0].shards[1].key_from: is 30001, so no shard holds keys 30000 to 30000 (allowed: 30000)"),
	Entry("gap at the end", "key_to: 65536", "key_to: 65535", "inv.yaml:16: services[0].shards[1].key_to: is 65535, so no shard holds keys 65535 to 65535 (allowed: 65536)"),
	Entry("missing name is located at its parent", "name: search\n    shard_map_epoch", "shard_map_epoch", `inv.yaml:6: services[0].name: is ""`),
	Entry("name with a slash", "name: search", "name: a/b", `inv.yaml:6: services[0].name: is "a/b" (allowed: 1 to 128`),
)

// Guards against the same failures for the rules.
var _ = DescribeTable("decoding faulty rules reports the fault",
	func(old, replacement, want string) {
		_, problems := document.DecodeRules("rules.yaml", replaceOnce(rulesYAML, old, replacement))
		Expect(strings.Split(problems.Error(), "\n")).To(ContainElement(HavePrefix(want)))
	},
	Entry("shares above 1", "min_share: 0.3", "min_share: 0.5", "rules.yaml:1: ranks: the minimum shares add up to 1.1 (allowed: a sum of 0 to 1)"),
	Entry("share that is not a number", "min_share: 0.3", "min_share: .nan", "rules.yaml:3: ranks[1].min_share: is NaN (allowed: 0 to 1)"),
	Entry("unknown rank", "rank: standard", "rank: normal", `rules.yaml:3: ranks[1].rank: rank "normal" does not exist (allowed: urgent, standard, deferred)`),
	Entry("missing rank", "rank: standard", "rank: normal", `rules.yaml:1: ranks: rank "standard" has no rule`),
	Entry("duplicate rank", "rank: standard", "rank: urgent", `rules.yaml:3: ranks[1].rank: rank "urgent" has two rules`),
	Entry("duplicate caller", "  - {caller: app, rank: urgent}", "  - {caller: app, rank: urgent}\n  - {caller: app, rank: deferred}", `rules.yaml:7: callers[1].caller: caller "app" has two rules`),
	Entry("hedges above the bound", "max_ratio: 0.05", "max_ratio: 0.06", "rules.yaml:7: hedge.max_ratio: is 0.06 (allowed: 0 to 0.05)"),
	Entry("default above maximum", "default_ms: 150", "default_ms: 2001", "rules.yaml:9: deadlines.default_ms: is 2001 (allowed: 1 to 2000)"),
	Entry("quantile out of range", "quantile: 0.95", "quantile: 1", "rules.yaml:7: hedge.quantile: is 1 (allowed: above 0 and below 1)"),
)

var _ = Describe("decoding and validating documents", func() {
	// Guards against a JSON document that the YAML decoder rejects, for example because it is indented with tabs.
	It("accepts valid documents in YAML and in JSON", func() {
		inv, problems := document.DecodeInventory("i", []byte(inventoryYAML))
		Expect(problems).To(BeEmpty())
		rules, problems := document.DecodeRules("r", []byte(rulesYAML))
		Expect(problems).To(BeEmpty())
		Expect(document.Validate(inv, rules)).To(BeEmpty())
		fromJSON, problems := document.DecodeRules("r.json", []byte("{\n\t\"ranks\": ["+
			`{"rank":"urgent","target_ms":1},{"rank":"standard","target_ms":1},{"rank":"deferred","target_ms":1}],`+
			`"hedge":{"window_ms":100,"quantile":0.5},"retry":{"window_ms":100,"max_attempts":1},"deadlines":{"default_ms":1,"max_ms":1}}`))
		Expect(problems).To(BeEmpty())
		Expect(fromJSON.Ranks).To(HaveLen(3))
	})

	// Guards against an operator who has to correct one problem before the next one is reported.
	It("reports every problem in one pass, in the order of lines", func() {
		doc := replaceOnce(string(replaceOnce(inventoryYAML, "slots: 2", "slots: x")), "key_to: 65536", "key_to: 70000")
		_, problems := document.DecodeInventory("i", doc)
		Expect(problems).To(HaveLen(2))
		Expect(problems[0].Line).To(BeNumerically("<", problems[1].Line))
		Expect(problems[1].Kind).To(Equal(validation.KindRange))
	})

	// Guards against a daemon that accepts a configuration which the command-line tool rejects.
	It("finds the same problems in values that were not read from a file", func() {
		inv, _ := document.DecodeInventory("i", []byte(inventoryYAML))
		rules, _ := document.DecodeRules("r", []byte(rulesYAML))
		inv.Services[0].Shards[0].Servers[0].Zone = "z9"
		rules.Ranks[0].MinShare = math.Inf(1)
		problems := document.Validate(inv, rules)
		Expect(problems.Error()).To(ContainSubstring(`inventory: services[0].shards[0].servers[0].zone: zone "z9"`))
		Expect(problems.Error()).To(ContainSubstring("rules: ranks[0].min_share: is +Inf"))
	})
})
