package main

import "github.com/galenalock/galenalock/bench/trial"

func init() {
	commands.Register(newExperiment("link", "A slow link between regions in one direction", trial.LinkScenarios, nil))
}
