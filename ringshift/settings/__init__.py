"""The operators' own settings, typed: what the platform's configuration has no place for."""
