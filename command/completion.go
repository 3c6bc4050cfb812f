package command

import "github.com/spf13/cobra"

func newCompletion() *cobra.Command {
	return &cobra.Command{
		Use:       "completion SHELL",
		Short:     "Write the completion script for bash, zsh or fish",
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{"bash", "zsh", "fish"},
		RunE: func(c *cobra.Command, args []string) error {
			switch args[0] {
			case "zsh":
				return c.Root().GenZshCompletion(c.OutOrStdout())
			case "fish":
				return c.Root().GenFishCompletion(c.OutOrStdout(), true)
			}
			return c.Root().GenBashCompletionV2(c.OutOrStdout(), true)
		},
	}
}
