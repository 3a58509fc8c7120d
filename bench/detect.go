package main

import "github.com/galenalock/galenalock/bench/trial"

func init() {
	commands.Register(newExperiment("detect", "One unhealthy target: slow, stalled, failing", trial.DetectScenarios, nil))
}
