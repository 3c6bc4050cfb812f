package command

import (
	"errors"

	"github.com/spf13/cobra"
)

func newEntry(o Options) *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "entry --settings FILE",
		Short: "Run the daemon of an entry VM",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if path == "" {
				return usageErrorf("entry needs --settings FILE")
			}
			s, err := loadSettings(path)
			if err != nil {
				return err
			}
			if o.Entry == nil {
				return errors.New("this build has no daemon")
			}
			return o.Entry(c.Context(), s)
		},
	}
	c.Flags().StringVar(&path, "settings", "", "settings file")
	return c
}
