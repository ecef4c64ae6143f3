package document

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"oleandersill.example/oleandersill/internal/model"
)

// maxShownBytes is the length of a value above which a difference shows only its beginning.
const maxShownBytes = 120

// Difference is one field that two configurations do not share.
type Difference struct {
	// Field is a path in which list items go by their names, as services[search].shards[s0].key_to.
	Field string `json:"field"`
	// Before and After are the values as JSON; empty if the field exists on one side only.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String formats the difference on one line, starting with + (added), - (removed) or ~ (changed).
func (d Difference) String() string {
	before, after := shorten(d.Before), shorten(d.After)
	switch {
	case d.Before == "":
		return "+ " + d.Field + ": " + after
	case d.After == "":
		return "- " + d.Field + ": " + before
	}
	return "~ " + d.Field + ": " + before + " -> " + after
}

// shorten cuts the value of a whole service or shard to what fits a line.
func shorten(value string) string {
	if len(value) <= maxShownBytes {
		return value
	}
	return strings.ToValidUTF8(value[:maxShownBytes], "") + "..."
}

// Diff returns the differences between two configurations, in the order of the document. An item of a list that exists
// on one side only is one difference; the order of items does not matter.
func Diff(inv model.Inventory, rules model.Rules, nextInv model.Inventory, nextRules model.Rules) []Difference {
	d := differ{found: []Difference{}}
	d.value("inventory", reflect.ValueOf(inv), reflect.ValueOf(nextInv))
	d.value("rules", reflect.ValueOf(rules), reflect.ValueOf(nextRules))
	return d.found
}

type differ struct{ found []Difference }

func (d *differ) value(path string, a, b reflect.Value) {
	switch a.Kind() {
	case reflect.Struct:
		for i := range a.NumField() {
			name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("yaml"), ",")
			d.value(path+"."+name, a.Field(i), b.Field(i))
		}
	case reflect.Slice:
		d.list(path, a, b)
	default:
		if !a.Equal(b) {
			d.found = append(d.found, Difference{Field: path, Before: text(a), After: text(b)})
		}
	}
}

func (d *differ) list(path string, a, b reflect.Value) {
	after := itemsByName(b)
	before := itemsByName(a)
	for i := range a.Len() {
		name := nameOf(a.Index(i))
		field := fmt.Sprintf("%s[%s]", path, name)
		if next, ok := after[name]; ok {
			d.value(field, a.Index(i), next)
			continue
		}
		d.found = append(d.found, Difference{Field: field, Before: text(a.Index(i))})
	}
	for i := range b.Len() {
		if name := nameOf(b.Index(i)); !before[name].IsValid() {
			d.found = append(d.found, Difference{Field: fmt.Sprintf("%s[%s]", path, name), After: text(b.Index(i))})
		}
	}
}

func itemsByName(list reflect.Value) map[string]reflect.Value {
	items := make(map[string]reflect.Value, list.Len())
	for i := range list.Len() {
		items[nameOf(list.Index(i))] = list.Index(i)
	}
	return items
}

// nameOf returns the first field of an item, which names it in every list of both documents.
func nameOf(item reflect.Value) string { return item.Field(0).String() }

func text(v reflect.Value) string {
	data, err := json.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface())
	}
	return string(data)
}
