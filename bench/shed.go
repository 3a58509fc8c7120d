package main

import "github.com/galenalock/galenalock/bench/trial"

func init() {
	commands.Register(newExperiment("shed", "Overload with a mix of requests", trial.ShedScenarios, nil))
}
