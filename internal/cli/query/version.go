package query

import (
	"context"
	"flag"
	"io"
	"runtime/debug"

	"oleandersill.example/oleandersill/internal/cli"
)

func versionCommand() cli.Command {
	return cli.Command{
		Name:    "version",
		Summary: "show the version of this tool",
		Example: "oleandersill version -o json",
		Setup:   setupVersion,
	}
}

// versionResult is the build information that the Go toolchain recorded in the binary.
type versionResult struct {
	Version  string `json:"version"`
	Go       string `json:"go"`
	Revision string `json:"revision,omitempty"`
	Modified bool   `json:"modified,omitempty"`
}

func setupVersion(fs *flag.FlagSet, _ *cli.Env) cli.RunFunc {
	format := cli.OutputFlag(fs)
	return func(_ context.Context, env *cli.Env) error {
		v := readVersion()
		return format.Print(env, v, func(w io.Writer) {
			cli.WriteRow(w, "version", v.Version)
			cli.WriteRow(w, "go", v.Go)
			cli.WriteRow(w, "revision", v.Revision)
		})
	}
}

func readVersion() versionResult {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return versionResult{Version: "unknown"}
	}
	v := versionResult{Version: info.Main.Version, Go: info.GoVersion}
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			v.Revision = s.Value
		case "vcs.modified":
			v.Modified = s.Value == "true"
		}
	}
	return v
}
