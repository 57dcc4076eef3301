"""What one server takes, runs and turns away. Every decision, table and tuned value of ringshift is here.

`Controller(machine, seed).decide(now, inputs)` returns the actions in order; `forgotten` names invocations
whose indices may be dropped. Why: docs/design.md. Each file is a layer that knows none above it."""

from ringshift.control.controller import Controller as Controller
