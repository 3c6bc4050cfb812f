package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/client"
	"github.com/cactusreel/cactusreel/resources"
	"github.com/cactusreel/cactusreel/result"
)

// applier holds the flags of apply.
type applier struct {
	*connection
	file        string
	operationID string
	create      bool
}

func newApply() *cobra.Command {
	c := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Write the resources of a JSON file",
		Long: "Write the resources of a file that holds one JSON object, a JSON array, or JSON lines.\n" +
			"A document with a version is written only if the resource still has that version.\n" +
			"All documents are checked before any is written.",
		Args: cobra.NoArgs,
	}
	a := &applier{connection: addConnectionFlags(c)}
	c.Flags().StringVarP(&a.file, "file", "f", "", "file to read, or - for standard input")
	c.Flags().StringVar(&a.operationID, "operation-id", "", "id of the operation, to repeat one whose outcome is unknown")
	c.Flags().BoolVar(&a.create, "create", false, "refuse resources that exist")
	c.RunE = func(c *cobra.Command, _ []string) error { return a.run(c) }
	return c
}

func (a *applier) run(c *cobra.Command) error {
	if a.file == "" {
		return usageErrorf("apply needs -f FILE, or -f - for standard input")
	}
	server, err := a.client()
	if err != nil {
		return err
	}
	data, err := a.readFile(c.InOrStdin())
	if err != nil {
		return err
	}
	list, err := api.ParseAll(data)
	if err != nil {
		return fmt.Errorf("%s: nothing was written:\n%w", a.file, err)
	}
	slices.SortStableFunc(list, func(x, y api.Resource) int {
		return slices.Index(api.Kinds(), x.Kind) - slices.Index(api.Kinds(), y.Kind)
	})
	if a.operationID == "" {
		a.operationID = client.NewOperationID()
	}
	return withOperationID(a.writeAll(c, server, list), a.operationID)
}

// readFile reads the file. It stops one byte after api.MaxFileBytes, which is
// enough to detect that the file is too large.
func (a *applier) readFile(stdin io.Reader) ([]byte, error) {
	source := stdin
	if a.file != "-" {
		file, err := os.Open(a.file)
		if err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }()
		source = file
	}
	return io.ReadAll(io.LimitReader(source, api.MaxFileBytes+1))
}

// writeAll writes the resources in order. It continues after a refused resource
// and stops if no server accepts writes or an outcome is unknown.
func (a *applier) writeAll(c *cobra.Command, server *client.Client, list []api.Resource) error {
	refused := 0
	for i, r := range list {
		err := a.writeResource(c, server, i, r)
		if err == nil {
			continue
		}
		if !isRefusal(err) {
			return fmt.Errorf("%s/%s: %w\n%d of %d resources were not tried", r.Kind, r.Name, withExitCode(err), len(list)-i-1, len(list))
		}
		refused++
		_, _ = fmt.Fprintf(c.ErrOrStderr(), "%s/%s refused: %v\n", r.Kind, r.Name, err)
	}
	if refused > 0 {
		return fmt.Errorf("%d of %d resources were refused", refused, len(list))
	}
	return nil
}

// writeResource writes one resource. Its operation id is derived from its position
// in the file, so that a repeated command repeats the same operations.
func (a *applier) writeResource(c *cobra.Command, server *client.Client, i int, r api.Resource) error {
	ctx, cancel := a.withTimeout(c.Context())
	defer cancel()
	precondition := resources.Precondition{Version: r.Version}
	if a.create {
		precondition = resources.Precondition{MustNotExist: true}
	}
	id := fmt.Sprintf("%s-%d", a.operationID, i+1)
	written, err := server.Put(ctx, r, client.WriteOptions{OperationID: id, Precondition: precondition})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "%s/%s applied, version %d%s\n", r.Kind, r.Name, written.Version, duplicateNote(written))
	return err
}

// isRefusal reports whether an error concerns this resource only, so that the
// others can still be written.
func isRefusal(err error) bool {
	var coded *result.Error
	if !errors.As(err, &coded) {
		return false
	}
	switch coded.Code {
	case result.Conflict, result.BadResource, result.NotFound, result.QuotaRefused, result.TooLarge:
		return true
	}
	return false
}
