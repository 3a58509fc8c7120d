package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/galenalock/galenalock/core/certs"
	"github.com/galenalock/galenalock/core/spec"
)

const (
	defaultAdmin   = "127.0.0.1:7002"
	defaultTimeout = 30 * time.Second
	adminEnvVar    = "GALENALOCK_ADMIN"
	tokenEnvVar    = "GALENALOCK_TOKEN"
)

// globalFlags holds the values of the flags that all commands share.
type globalFlags struct {
	admin     string
	token     string
	authority string
	json      bool
	timeout   time.Duration
}

// Main runs galenactl and returns its exit code. Without a command it prints
// the help text and returns ExitInvalid. On an unknown flag the parser prints
// the help text and exits the process with code 2.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := globalFlags{admin: defaultAdmin, timeout: defaultTimeout}
	if s := os.Getenv(adminEnvVar); s != "" {
		flags.admin = s
	}
	parser := flaggy.NewParser("galenactl")
	parser.Description = "operates a galenalock fleet"
	parser.ShowVersionWithVersionFlag = false
	parser.ShowCompletion = false
	parser.AdditionalHelpAppend = exitHelp
	flags.register(&parser.Subcommand)
	commandFuncs, selectedIndex := attachCommands(parser)
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitInvalid
	}
	selected := selectedIndex()
	if selected < 0 {
		parser.ShowHelp()
		return ExitInvalid
	}
	env, err := flags.newEnv(stdout, stderr)
	if err == nil {
		err = commandFuncs[selected](ctx, env)
	}
	printError(stderr, err)
	return exitCode(err)
}

const exitHelp = `
Exit codes: 0 done, 1 failed, 2 invalid arguments or text, 3 conflict,
4 outcome unknown (resend), 5 no majority or no replica reached (not done),
6 token missing or not allowed, 7 diff found differences,
8 accepted but not in force everywhere in time`

func (g *globalFlags) register(sub *flaggy.Subcommand) {
	sub.String(&g.admin, "a", "admin", "administration addresses of control replicas, separated by commas (or "+adminEnvVar+")")
	sub.String(&g.token, "", "token", "file that holds the token (or the token itself in "+tokenEnvVar+")")
	sub.String(&g.authority, "", "authority", "file of the fleet's authority; replicas are asked over TLS")
	sub.Bool(&g.json, "", "json", "print JSON for programs")
	sub.Duration(&g.timeout, "", "timeout", "how long to try, repetitions included")
}

func (g *globalFlags) newEnv(out, errs io.Writer) (*Env, error) {
	addresses, err := parseAddresses(g.admin)
	if err != nil {
		return nil, err
	}
	if g.timeout <= 0 {
		return nil, &InvalidError{Reason: "--timeout: must be greater than 0"}
	}
	client := &Client{Addresses: addresses, Token: os.Getenv(tokenEnvVar), Timeout: g.timeout}
	if g.token != "" {
		data, err := os.ReadFile(g.token)
		if err != nil {
			return nil, &InvalidError{Reason: "--token: " + err.Error()}
		}
		client.Token = strings.TrimSpace(string(data))
	}
	if g.authority != "" {
		client.TLS, err = certs.NewClientConfig(g.authority)
		if err != nil {
			return nil, &InvalidError{Reason: "--authority: " + err.Error()}
		}
	}
	return &Env{Out: out, Err: errs, JSON: g.json, Client: client}, nil
}

// attachCommands adds the registered commands to the parser, with a group such
// as "replica" as a parent command. It returns the functions that run the
// commands, and a function that returns the index of the parsed command, or -1.
func attachCommands(parser *flaggy.Parser) ([]func(context.Context, *Env) error, func() int) {
	var runs []func(context.Context, *Env) error
	var subs []*flaggy.Subcommand
	groups := map[string]*flaggy.Subcommand{}
	for _, c := range Commands() {
		parent, name := &parser.Subcommand, c.Name
		if group, subcommand, ok := strings.Cut(c.Name, " "); ok {
			if groups[group] == nil {
				groups[group] = flaggy.NewSubcommand(group)
				groups[group].Description = "commands for " + group + "s"
				parser.AttachSubcommand(groups[group], 1)
			}
			parent, name = groups[group], subcommand
		}
		sub := flaggy.NewSubcommand(name)
		sub.Description = c.Summary
		sub.AdditionalHelpAppend = "\nExample:\n  " + strings.ReplaceAll(c.Example, "\n", "\n  ")
		runs = append(runs, c.Setup(sub))
		subs = append(subs, sub)
		parent.AttachSubcommand(sub, 1)
	}
	return runs, func() int {
		for i, sub := range subs {
			if sub.Used {
				return i
			}
		}
		return -1
	}
}

// printError prints an error, one line for each error of a service text.
func printError(w io.Writer, err error) {
	var differsErr *DiffersError
	var problem *ProblemError
	var textErrs spec.Errors
	switch {
	case err == nil, errors.As(err, &differsErr):
	case errors.As(err, &textErrs):
		fmt.Fprintln(w, textErrs.Error())
	case errors.As(err, &problem) && len(problem.Errors) > 0:
		for _, textErr := range problem.Errors {
			fmt.Fprintf(w, "line %d: %s: %s\n", textErr.Line, textErr.Key, textErr.Reason)
		}
	default:
		fmt.Fprintln(w, "galenactl:", err)
	}
}
