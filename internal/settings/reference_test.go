package settings_test

import (
	"fmt"
	"os"
	"reflect"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/settings"
)

const referencePage = "../../docs/operations/reference.md"

// documentedFields returns the fields of the table below a heading of the reference page, each with its default.
func documentedFields(heading string) map[string]string {
	page, err := os.ReadFile(referencePage)
	Expect(err).NotTo(HaveOccurred())
	_, section, found := strings.Cut(string(page), "\n## "+heading+"\n")
	Expect(found).To(BeTrue(), heading)
	section, _, _ = strings.Cut(section, "\n## ")
	fields := map[string]string{}
	for line := range strings.Lines(section) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		Expect(cells).To(HaveLen(4), line)
		name := strings.Trim(strings.TrimSpace(cells[0]), "`")
		Expect(fields).NotTo(HaveKey(name))
		fields[name] = strings.TrimSpace(cells[1])
	}
	return fields
}

// taggedFields returns the paths of a struct's fields by their YAML tags, those of nested structs and lists included.
func taggedFields(t reflect.Type, prefix string) []string {
	var paths []string
	for field := range t.Fields() {
		tag, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		Expect(tag).NotTo(BeEmpty(), field.Name)
		if tag == "-" {
			// The field cannot be written in a document.
			continue
		}
		path := prefix + tag
		paths = append(paths, path)
		switch {
		case field.Type.Kind() == reflect.Struct:
			paths = append(paths, taggedFields(field.Type, path+".")...)
		case field.Type.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct:
			paths = append(paths, taggedFields(field.Type.Elem(), path+"[].")...)
		}
	}
	return paths
}

var _ = Describe("docs/operations/reference.md", func() {
	// Guards against a field that is added, renamed or removed in code and not on the page.
	DescribeTable("lists every field of the code, and no other",
		func(heading string, document any) {
			var listed []string
			for name := range documentedFields(heading) {
				listed = append(listed, name)
			}
			Expect(listed).To(ConsistOf(taggedFields(reflect.TypeOf(document), "")))
		},
		Entry("settings", "Settings of the daemon", settings.Settings{}),
		Entry("inventory", "Inventory", model.Inventory{}),
		Entry("rules", "Rules", model.Rules{}),
	)

	// Guards against a default that is changed in code and not on the page.
	It("states the defaults of settings", func() {
		documented := documentedFields("Settings of the daemon")
		defaults := reflect.ValueOf(settings.Defaults())
		for i := range defaults.NumField() {
			value, field := defaults.Field(i), defaults.Type().Field(i)
			cell := documented[field.Tag.Get("yaml")]
			if value.IsZero() {
				Expect(cell).To(BeElementOf("", "none"), field.Name)
				continue
			}
			Expect(cell).To(Equal(fmt.Sprint(value.Interface())), field.Name)
		}
	})
})
