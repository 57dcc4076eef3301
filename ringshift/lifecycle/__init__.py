"""From start to exit: configuration, phases, signals, log set-up, exit status."""
