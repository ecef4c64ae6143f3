package query

import "oleandersill.example/oleandersill/internal/cli"

// All returns the sub-commands of this package.
func All() []cli.Command {
	return []cli.Command{
		validateCommand(), importCommand(), planCommand(), getCommand(), statusCommand(), auditCommand(), searchCommand(),
		traceCommand(),
		versionCommand(),
	}
}
