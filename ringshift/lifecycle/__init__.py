"""From start to exit: configuration, phases, signals, exit status."""
