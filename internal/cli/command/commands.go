package command

import "oleandersill.example/oleandersill/internal/cli"

// All returns the sub-commands of this package.
func All() []cli.Command {
	return []cli.Command{applyCommand(), rollbackCommand(), drainCommand(), executeCommand()}
}
