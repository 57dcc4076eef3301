"""The commands: parse, call, print. No work of their own; each group is loaded when it is named."""
