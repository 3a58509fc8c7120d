package main

import "github.com/galenalock/galenalock/bench/trial"

func init() {
	commands.Register(newExperiment("floor", "More unhealthy or cold targets than the floor lets go", trial.FloorScenarios, nil))
}
