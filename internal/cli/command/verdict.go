package command

import (
	"fmt"
	"io"
	"strings"

	"oleandersill.example/oleandersill/internal/cli"
	"oleandersill.example/oleandersill/internal/command/commandhttp"
	"oleandersill.example/oleandersill/internal/command/configure"
	"oleandersill.example/oleandersill/internal/configdoc"
)

const unknownAdvice = "Run the same command again: it reports the accepted revision, or makes the change once."

// printVerdict prints the verdict on a change and returns a *Failure with its exit code, or nil if the change was
// accepted.
func printVerdict(env *cli.Env, format *cli.Format, a commandhttp.ApplyResponse) error {
	err := format.Print(env, a, func(w io.Writer) { writeVerdict(w, a) })
	if err != nil {
		return err
	}
	if code := exitCode(a); code != cli.ExitOK {
		return &cli.Failure{Code: code}
	}
	return nil
}

func exitCode(a commandhttp.ApplyResponse) int {
	switch {
	case a.Verdict == configure.Accepted:
		return cli.ExitOK
	case a.Verdict == configure.Unknown, a.Cause == configure.CauseUnavailable:
		return cli.ExitUnknown
	case a.Cause == configure.CauseInvalid:
		return cli.ExitUsage
	case a.Cause == configure.CauseConflict, a.Cause == configure.CauseRevisionAhead:
		return cli.ExitConflict
	}
	return cli.ExitFailed
}

func writeVerdict(w io.Writer, a commandhttp.ApplyResponse) {
	switch a.Verdict {
	case configure.Accepted:
		writeAccepted(w, a)
	case configure.Unknown:
		_, _ = fmt.Fprintf(w, "unknown: %s\n%s\n", a.Detail, unknownAdvice)
	case configure.NotAccepted:
		_, _ = fmt.Fprintf(w, "not accepted (%s): %s\n", a.Cause, a.Detail)
		if a.Current != nil {
			_, _ = fmt.Fprintf(w, "current revision: %d\n", a.Current.Revision)
		}
		writeConflict(w, a)
	}
	for _, p := range a.Problems {
		_, _ = fmt.Fprintln(w, p)
	}
}

func writeAccepted(w io.Writer, a commandhttp.ApplyResponse) {
	_, _ = fmt.Fprintf(w, "accepted as revision %d\n", a.Root.Revision)
	if a.Repeated {
		_, _ = fmt.Fprintf(w, "It was accepted before, by %s at %s.\n", a.Root.Editor, cli.FormatTime(a.Root.TimeMs))
	}
	if a.Current != nil && a.Current.Revision > a.Root.Revision {
		_, _ = fmt.Fprintf(w, "Revision %d by %s has replaced it since.\n", a.Current.Revision, a.Current.Editor)
	}
	if a.Merged {
		_, _ = fmt.Fprintln(w, "It was merged with:")
		writeChanges(w, a.Others)
	}
}

func writeConflict(w io.Writer, a commandhttp.ApplyResponse) {
	if len(a.Others) == 0 {
		return
	}
	_, _ = fmt.Fprintln(w, "Changes accepted since the expected revision:")
	writeChanges(w, a.Others)
	if len(a.Parts) > 0 {
		_, _ = fmt.Fprintf(w, "Both sides change: %s\n", joinParts(a.Parts))
		return
	}
	if len(a.Problems) == 0 {
		_, _ = fmt.Fprintln(w, "No part is changed by both sides: apply with -merge, or start again from the current revision.")
	}
}

func writeChanges(w io.Writer, changes []configdoc.Change) {
	cli.WriteRow(w, "REVISION", "EDITOR", "TIME", "REASON", "PARTS")
	for _, c := range changes {
		cli.WriteRow(w, c.Revision, c.Editor, cli.FormatTime(c.TimeMs), c.Reason, joinParts(c.Parts))
	}
}

func joinParts(parts []configdoc.PartName) string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = string(p)
	}
	return strings.Join(names, ", ")
}
