package fleetload_test

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/measure/fleetload"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestFleetload(t *testing.T) { suite.Run(t, "./internal/measure/fleetload") }

var _ = Describe("the measurement of a fleet", func() {
	// Guards against rows that are reported although daemons never received their configuration.
	It("reports a row per phase, with every change in force within the target", func() {
		rows, err := fleetload.Run(context.Background(), fleetload.Options{
			Sizes:          []fleetload.Size{{Daemons: 4, Zones: 2}},
			SteadyDuration: time.Second, OutageDuration: 500 * time.Millisecond, Changes: 2,
		})
		Expect(err).NotTo(HaveOccurred())
		var phases []fleetload.Phase
		for _, r := range rows {
			phases = append(phases, r.Phase)
			Expect(r.Missing).To(BeZero(), string(r.Phase))
			Expect(r.Relays).To(BeNumerically(">", 0), string(r.Phase))
		}
		Expect(phases).To(Equal([]fleetload.Phase{
			fleetload.PhaseStart, fleetload.PhaseSteady, fleetload.PhaseChanges, fleetload.PhaseLeaving,
			fleetload.PhaseOutage, fleetload.PhaseRestart,
		}))
		var out strings.Builder
		Expect(fleetload.PrintTable(&out, rows)).To(Succeed())
		Expect(strings.Count(out.String(), "\n")).To(Equal(len(rows) + 2))
	})
})

var _ = Describe("the footprint of a configuration", func() {
	// Guards against figures of a generated inventory that a daemon would reject.
	It("is measured for a valid configuration", func() {
		footprint, err := fleetload.MeasureConfigFootprint(4_800)
		Expect(err).NotTo(HaveOccurred())
		Expect(footprint.PackedPartBytes).To(BeNumerically("<", footprint.PartBytes))
	})
})
