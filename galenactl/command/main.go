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
	adminVariable  = "GALENALOCK_ADMIN"
	tokenVariable  = "GALENALOCK_TOKEN"
)

// global are the flags of every command.
type global struct {
	admin     string
	token     string
	authority string
	json      bool
	timeout   time.Duration
}

// Main runs the program and returns its exit code. Without a command, and on a
// wrong flag, the parser prints help and ends the process.
func Main(ctx context.Context, args []string, out, errs io.Writer) int {
	g := global{admin: defaultAdmin, timeout: defaultTimeout}
	if s := os.Getenv(adminVariable); s != "" {
		g.admin = s
	}
	parser := flaggy.NewParser("galenactl")
	parser.Description = "operates a galenalock fleet"
	parser.ShowVersionWithVersionFlag = false
	parser.ShowCompletion = false
	parser.AdditionalHelpAppend = exitHelp
	g.declare(&parser.Subcommand)
	run, used := attach(parser)
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(errs, err)
		return ExitInvalid
	}
	chosen := used()
	if chosen < 0 {
		parser.ShowHelp()
		return ExitInvalid
	}
	env, err := g.env(out, errs)
	if err == nil {
		err = run[chosen](ctx, env)
	}
	show(errs, err)
	return exitCode(err)
}

const exitHelp = `
Exit codes: 0 done, 1 failed, 2 invalid arguments or text, 3 conflict,
4 outcome unknown (resend), 5 no majority or no replica reached (not done),
6 token missing or not allowed, 7 diff found differences,
8 accepted but not in force everywhere in time`

func (g *global) declare(sub *flaggy.Subcommand) {
	sub.String(&g.admin, "a", "admin", "administration addresses of control replicas, separated by commas (or "+adminVariable+")")
	sub.String(&g.token, "", "token", "file that holds the token (or the token itself in "+tokenVariable+")")
	sub.String(&g.authority, "", "authority", "file of the fleet's authority; replicas are asked over TLS")
	sub.Bool(&g.json, "", "json", "print JSON for programs")
	sub.Duration(&g.timeout, "", "timeout", "how long to try, repetitions included")
}

func (g *global) env(out, errs io.Writer) (*Env, error) {
	addresses, err := parseAddresses(g.admin)
	if err != nil {
		return nil, err
	}
	if g.timeout <= 0 {
		return nil, &InvalidError{Reason: "--timeout: must be greater than 0"}
	}
	client := &Client{Addresses: addresses, Token: os.Getenv(tokenVariable), Timeout: g.timeout}
	if g.token != "" {
		data, err := os.ReadFile(g.token)
		if err != nil {
			return nil, &InvalidError{Reason: "--token: " + err.Error()}
		}
		client.Token = strings.TrimSpace(string(data))
	}
	if g.authority != "" {
		client.TLS, err = certs.Trust(g.authority)
		if err != nil {
			return nil, &InvalidError{Reason: "--authority: " + err.Error()}
		}
	}
	return &Env{Out: out, Err: errs, JSON: g.json, Client: client}, nil
}

// attach adds the commands to the parser. Groups such as "replica" become
// commands with commands.
func attach(parser *flaggy.Parser) ([]func(context.Context, *Env) error, func() int) {
	var runs []func(context.Context, *Env) error
	var subs []*flaggy.Subcommand
	groups := map[string]*flaggy.Subcommand{}
	for _, c := range Commands() {
		parent, name := &parser.Subcommand, c.Name
		if group, inner, ok := strings.Cut(c.Name, " "); ok {
			if groups[group] == nil {
				groups[group] = flaggy.NewSubcommand(group)
				groups[group].Description = "commands for " + group + "s"
				parser.AttachSubcommand(groups[group], 1)
			}
			parent, name = groups[group], inner
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

// show prints an error, one line for each fault.
func show(w io.Writer, err error) {
	var differs *DiffersError
	var problem *ProblemError
	var faults spec.Errors
	switch {
	case err == nil, errors.As(err, &differs):
	case errors.As(err, &faults):
		fmt.Fprintln(w, faults.Error())
	case errors.As(err, &problem) && len(problem.Errors) > 0:
		for _, f := range problem.Errors {
			fmt.Fprintf(w, "line %d: %s: %s\n", f.Line, f.Key, f.Reason)
		}
	default:
		fmt.Fprintln(w, "galenactl:", err)
	}
}
