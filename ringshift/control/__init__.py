"""What one server takes, runs and turns away. Every decision, table and tuned value of ringshift is here.

Called as `Controller(machine, seed)`, then `decide(now, inputs)` for each batch of news: it returns the
actions in the order they must be carried out; `forgotten` then names the invocations whose indices may be
dropped. Types are in interface.py; the why of it, against its source, is in docs/design.md. Each file is a
layer over the one before, and knows nothing of those above: measures, invocation, shares, cores, lines,
calls, readiness, connections, door, controller.
"""

from ringshift.control.controller import Controller as Controller
