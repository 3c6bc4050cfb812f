package command

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/client"
	"github.com/cactusreel/cactusreel/operator"
	"github.com/cactusreel/cactusreel/resources"
)

// writeFlags holds the flags of the commands that change one resource.
type writeFlags struct {
	*connection
	operationID string
	ifVersion   int64
}

func addWriteFlags(c *cobra.Command) *writeFlags {
	f := &writeFlags{connection: addConnectionFlags(c)}
	c.Flags().StringVar(&f.operationID, "operation-id", "", "id of the operation, to repeat one whose outcome is unknown")
	c.Flags().Int64Var(&f.ifVersion, "if-version", 0, "refuse unless the resource has this version")
	return f
}

// run performs a write and prints the new version. If the outcome is unknown, the
// error contains the operation id with which the write can be repeated.
func (f *writeFlags) run(c *cobra.Command, action string, write func(context.Context, *client.Client, client.WriteOptions) (operator.WriteResult, error)) error {
	if f.ifVersion < 0 {
		return usageErrorf("--if-version is %d; accepted: 1 or more", f.ifVersion)
	}
	server, err := f.client()
	if err != nil {
		return err
	}
	ctx, cancel := f.withTimeout(c.Context())
	defer cancel()
	options := client.WriteOptions{
		OperationID:  f.operationID,
		Precondition: resources.Precondition{Version: api.Version(f.ifVersion)},
	}
	written, err := write(ctx, server, options)
	if err != nil {
		return withOperationID(withExitCode(err), written.Operation)
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "%s/%s %s, version %d%s\n", written.Kind, written.Name, action, written.Version, duplicateNote(written))
	return err
}

// duplicateNote returns a note for the output if an earlier operation with the
// same id had this outcome.
func duplicateNote(written operator.WriteResult) string {
	if written.Duplicate {
		return " (by an earlier operation with this id)"
	}
	return ""
}

// withOperationID adds to an error with an unknown outcome how to repeat the
// write.
func withOperationID(err error, id string) error {
	if ExitCode(err) != ExitOutcomeUnknown {
		return err
	}
	return fmt.Errorf("%w\nrepeat the command with --operation-id %s to learn the outcome", err, id)
}
