"""What one server takes, runs and turns away. Every decision, table and tuned value of ringshift is here.

Called as `Controller(machine, seed)`, then `decide(now, inputs)` for each batch of news: it returns the
actions in order; `forgotten` names the invocations whose indices may be dropped. Types: interface.py; why:
docs/design.md. Each file is a layer that knows none of those above it; controller.py is the uppermost.
"""

from ringshift.control.controller import Controller as Controller
