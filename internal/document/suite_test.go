package document_test

import (
	"testing"

	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestDocument(t *testing.T) { suite.Run(t, "./internal/document") }
