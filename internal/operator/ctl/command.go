package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"
)

// defaultTimeout is the default of --timeout, the time that routers have to confirm
// a change.
const defaultTimeout = 5 * time.Second

// command describes one command of hemlockctl.
type command struct {
	use, short string
	args       cobra.PositionalArgs
	run        func(ctx context.Context, args []string) error
	addFlags   func(*cobra.Command) // nil for none
}

func (c command) cobraCommand() *cobra.Command {
	cmd := &cobra.Command{Use: c.use, Short: c.short, Args: c.args}
	cmd.RunE = func(running *cobra.Command, args []string) error { return c.run(running.Context(), args) }
	if c.addFlags != nil {
		c.addFlags(cmd)
	}
	return cmd
}

// commands returns the commands by group. Commands of the group "" belong to the
// root command.
func (c *cli) commands() map[string][]command {
	return map[string][]command{
		"": {
			{"explain", "show the decisions about a request or an upstream", cobra.NoArgs, c.explain, c.addExplainFlags},
			{"status", "show the configuration version of each router", cobra.NoArgs, c.status, nil},
		},
		"config": {
			{"show", "print the configuration", cobra.NoArgs, c.configShow, nil},
			{"check FILE", "check a configuration file and list its faults", cobra.ExactArgs(1), c.configCheck, nil},
			{"init FILE", "create the configuration from a file", cobra.ExactArgs(1), c.configInit, nil},
			{"apply FILE", "replace the configuration with a file based on the current version", cobra.ExactArgs(1), c.configApply, nil},
			{"set SECTION KEY VALUE", "set a key, such as service:drafter max_load 48; an empty value removes it", cobra.ExactArgs(3), c.configSet, nil},
		},
		"exception": {
			{"add KIND:NAME KEY=VALUE...", "add an exception for a workspace, upstream or service", cobra.MinimumNArgs(2), c.exceptionAdd, c.addReasonFlags},
			{"remove KIND:NAME", "remove an exception", cobra.ExactArgs(1), c.exceptionRemove, nil},
		},
		"domain": {
			{"out NAME", "take a failure domain out of service", cobra.ExactArgs(1), c.domainOut, c.addReasonFlags},
			{"in NAME", "bring a failure domain back into service", cobra.ExactArgs(1), c.domainIn, nil},
		},
		"key": {
			{"issue WORKSPACE", "print a signed key of a workspace", cobra.ExactArgs(1), c.keyIssue, c.addKeyFlags},
		},
	}
}

var groupDescriptions = map[string]string{
	"config":    "show and change the configuration",
	"exception": "add and remove exceptions",
	"domain":    "take failure domains out of service and back",
	"key":       "issue keys of workspaces",
}

func (c *cli) addReasonFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.reason, "reason", "", "why the exception is needed (required)")
	cmd.Flags().StringVar(&c.author, "author", os.Getenv("USER"), "person or team responsible for the exception")
	_ = cmd.MarkFlagRequired("reason") // fails only for an undefined flag
}

func (c *cli) addExplainFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.requestID, "request", "", "request id")
	cmd.Flags().StringVar(&c.upstreamID, "upstream", "", "upstream id")
	cmd.MarkFlagsOneRequired("request", "upstream")
	cmd.MarkFlagsMutuallyExclusive("request", "upstream")
}

func (c *cli) addKeyFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.secretFile, "secret-file", "", "file with the secret that routers verify keys with (required)")
	cmd.Flags().IntVar(&c.generation, "generation", 0, "generation of the key, 0 for the workspace's current one in the store")
	_ = cmd.MarkFlagRequired("secret-file") // fails only for an undefined flag
}

// rootCommand returns the command tree.
func (c *cli) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "hemlockctl", Short: "show and change the configuration of a hemlockcroft fleet",
		SilenceUsage: true, SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&c.storeURLs, "store", nil, "base URLs of the key-value service")
	flags.StringVar(&c.hostListURL, "hosts", "", "URL of the host list")
	flags.StringSliceVar(&c.routerAddresses, "routers", nil, "operators' addresses of routers, if the host list does not state them")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "time for routers to confirm a change")
	flags.BoolVar(&c.dryRun, "dry-run", false, "show the difference and write nothing")
	for name, group := range c.commands() {
		parent := root
		if name != "" {
			parent = &cobra.Command{Use: name, Short: groupDescriptions[name], Args: cobra.NoArgs, RunE: missingCommand}
			root.AddCommand(parent)
		}
		for _, command := range group {
			parent.AddCommand(command.cobraCommand())
		}
	}
	return root
}

// missingCommand returns an error if a group is given without a command. Cobra
// would print the help and exit with 0.
func missingCommand(cmd *cobra.Command, _ []string) error {
	return fmt.Errorf("%s: a command is missing, see --help", cmd.CommandPath())
}

// Run executes hemlockctl with the arguments and returns its exit code: 0 for
// success, 1 for an error, 3 for a change that was written but not confirmed by
// enough routers, 4 if it is unknown whether the change was written, 5 for a
// conflict with another change.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return newCLI(stdout).run(ctx, args, stderr)
}

func (c *cli) run(ctx context.Context, args []string, stderr io.Writer) int {
	root := c.rootCommand()
	root.SetArgs(args)
	root.SetOut(c.out)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(stderr, "error:", err)
	}
	return exitCode(err)
}
