"""Long recorded runs, each a command with a seed and a `--short` form; their tables go to docs/."""
