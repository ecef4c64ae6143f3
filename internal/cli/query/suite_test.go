package query

import (
	"testing"

	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestQueryCommands(t *testing.T) { suite.Run(t, "./internal/cli/query") }
