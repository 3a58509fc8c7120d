package main

import (
	"time"

	"github.com/integrii/flaggy"

	"github.com/galenalock/galenalock/bench/trial"
)

func init() {
	noise := time.Hour
	commands.Register(newExperiment("flap", "A flapping target, and healthy noise without any fault",
		func() []trial.Scenario { return trial.FlapScenarios(noise) },
		func(sub *flaggy.Subcommand) {
			sub.Duration(&noise, "", "noise", "Virtual time of the healthy noise, 0 to leave it out")
		}))
}
