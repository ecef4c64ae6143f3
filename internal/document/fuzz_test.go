package document_test

import (
	"encoding/json"
	"testing"

	"oleandersill.example/oleandersill/internal/document"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/validation"
)

// FuzzInventoryYAML guards against a panic on untrusted input, and against input that is accepted but is no longer valid
// after it was encoded as JSON, the format of the store.
func FuzzInventoryYAML(f *testing.F) {
	f.Add([]byte(inventoryYAML))
	f.Add([]byte(rulesYAML))
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("zones: {}\nservices: [1, null, {shards: [{servers: [[]]}]}]"))
	f.Add([]byte("{\"max_instances\": 1e3}"))
	f.Add([]byte("? {a: b}\n: c"))
	f.Fuzz(func(t *testing.T, data []byte) {
		inv, problems := document.DecodeInventory("f", data)
		checkRoundTrip(t, inv, problems)
		_, _ = document.DecodeRules("f", data)
	})
}

// FuzzInventoryCSV guards against the same failures of the CSV import.
func FuzzInventoryCSV(f *testing.F) {
	f.Add([]byte(csvExport))
	f.Add([]byte("service,service\n"))
	f.Add([]byte("service;shard\n\"a"))
	f.Fuzz(func(t *testing.T, data []byte) {
		inv, problems := document.ImportCSV("f", data, csvOptions())
		checkRoundTrip(t, inv, problems)
	})
}

func checkRoundTrip(t *testing.T, inv model.Inventory, problems validation.Problems) {
	if len(problems) > 0 {
		_ = problems.Error()
		return
	}
	value, err := json.Marshal(inv)
	if err != nil {
		t.Fatal(err)
	}
	if _, again := document.DecodeInventory("f", value); len(again) > 0 {
		t.Fatalf("accepted at first, rejected as JSON: %v", again)
	}
}
