package report_test

import (
	"testing"

	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestReport(t *testing.T) { suite.Run(t, "./internal/command/report") }
