"""`ringshift COMMAND`, loaded lazily. Exit status: 0 done, 1 failed, 2 wrong usage or input, in one line."""

from __future__ import annotations

import sys
from importlib import import_module

import click

from ringshift import __version__
from ringshift.machine import Malformed

# command -> where it lives, what the list of commands says of it
COMMANDS = {
    "records": ("ringshift.cli.records:records", "Gather, check and show what servers recorded."),
    "console": ("ringshift.cli.console:console", "Follow servers live, or step through a store."),
    "report": ("ringshift.cli.report:report", "Tell an incident's course as one HTML page."),
    "lease": ("ringshift.cli.lease:lease", "Hold a fleet task's lease, tell who holds it, release it."),
    "budget": ("ringshift.cli.budget:budget", "Tell how fleet-wide budgets are divided."),
    "rules": ("ringshift.cli.rules:rules", "Publish the fleet's rulebook; tell who acts by what."),
    "schedule": ("ringshift.cli.schedule:schedule", "Plan and withdraw scheduled routing changes."),
    "retire": ("ringshift.cli.retire:retire", "Retire a version of an operation step by step."),
}


class Lazy(click.Group):
    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in COMMANDS:
            return None
        module, _, function = COMMANDS[name][0].partition(":")
        found = getattr(import_module(module), function)
        assert isinstance(found, click.Command)
        return found

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl([(name, told) for name, (_, told) in COMMANDS.items()])


@click.group(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="ringshift")
def main() -> None:
    """Overload control inside each server of a fleet, and what its operators need around it.

    Without a command it is one backend, told by its environment.

    Example: ringshift records gather logs/ -o incident.db
    """


def command(args: list[str] | None = None) -> int:
    """One plain line for all that is wrong, whoever found it."""
    try:
        status = main.main(args, prog_name="ringshift", standalone_mode=False)
        return status if isinstance(status, int) else 0
    except click.exceptions.Abort:
        print("ringshift: stopped", file=sys.stderr)
        return 1
    except click.ClickException as wrong:
        print(f"ringshift: {' '.join(wrong.format_message().split())}", file=sys.stderr)
        return 2 if isinstance(wrong, click.UsageError) else 1
    except Malformed as wrong:
        print(f"ringshift: {wrong}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
