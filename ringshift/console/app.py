"""The console's screens. Nothing is judged here: they show a board and move about in its time."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import ClassVar

from rich.text import Text
from textual import work
from textual.app import App, ComposeResult
from textual.binding import Binding, BindingType
from textual.containers import VerticalScroll
from textual.screen import Screen
from textual.widgets import DataTable, Footer, Input, Static

from ringshift.console.board import SORTS, Board, LiveBoard, Row, chosen, spark
from ringshift.findings.telling import clock
from ringshift.records.schema import Record

S = 10**9
COLUMNS = {
    "server": 12,
    "phase": 9,
    "rdy": 4,
    "limit": 5,
    " press": 6,
    " ok/s": 6,
    " away": 6,
    " err": 5,
    " ok so far": 14,
    "trouble": 12,
}
LINES = 5  # findings under the table


def cells(row: Row) -> list[Text]:
    """Words and signs beside colour: it must read without."""
    trouble = "bold red" if row.trouble else ""
    return [
        Text(row.server[:12]),
        Text(row.phase[:8], "" if row.phase == "serving" else "yellow"),
        Text("yes" if row.ready else "no", "" if row.ready else "bold"),
        Text(f"{row.limit:.0f}", justify="right"),
        Text(f"{row.pressure:.2f}"[:5], justify="right"),
        Text(f"{row.succeeded:.0f}", justify="right"),
        Text(f"{row.throttled:.0f}" if row.throttled else "", "red", justify="right"),
        Text(f"{row.errored:.0f}" if row.errored else "", "magenta", justify="right"),
        Text(" " + spark(row.trail[-12:])),
        Text(row.trouble[:11], trouble),
    ]


class Detail(Screen[None]):
    BINDINGS: ClassVar[list[BindingType]] = [Binding("escape,enter,q", "app.pop_screen", "back")]

    def __init__(self, server: str, lines: list[str], row: Row | None) -> None:
        super().__init__()
        self.server, self.lines, self.row = server, lines, row

    def compose(self) -> ComposeResult:
        head = f"{self.server}"
        if self.row is not None:
            head += (
                f"  {self.row.phase}, {'ready' if self.row.ready else 'not ready'}, limit "
                f"{self.row.limit:.0f}, pressure {self.row.pressure:.2f}\nsucceeded a second, so far: "
                f"{spark(self.row.trail)} {self.row.succeeded:.0f}"
            )
        yield Static(Text(head, "bold"), id="head")
        with VerticalScroll():
            yield Static(Text("\n".join(self.lines)))
        yield Footer()


class Console(App[None]):
    CSS = """
    #top { height: 1; text-style: bold; }
    DataTable { height: 1fr; }
    #told { height: 6; border-top: solid $secondary; text-wrap: nowrap; text-overflow: ellipsis; }
    #seek { display: none; height: 3; }
    #seek.on { display: block; }
    """
    TITLE = "ringshift"
    ENABLE_COMMAND_PALETTE = False
    BINDINGS: ClassVar[list[BindingType]] = [
        Binding("left", "step(-1)", "back", priority=True),
        Binding("right", "step(1)", "on", priority=True),
        Binding("shift+left", "step(-20)", "", show=False, priority=True),
        Binding("shift+right", "step(20)", "", show=False, priority=True),
        Binding("home", "edge(0)", "start", show=False, priority=True),
        Binding("end", "edge(1)", "end", show=False, priority=True),
        Binding("space", "play", "play"),
        Binding("s", "sort", "sort"),
        Binding("slash", "seek", "filter"),
        Binding("n", "next", "next finding"),
        Binding("escape", "clear", "", show=False),
        Binding("q", "quit", "quit"),
    ]

    def __init__(self, board: Board, poll: Callable[[], list[Record]] | None = None) -> None:
        super().__init__()
        self.board, self.poll = board, poll
        self.at = board.span()[0]
        self.sort, self.sought, self.playing = "name", "", False
        self.shown: dict[str, list[Text]] = {}
        self.order: list[str] = []

    def compose(self) -> ComposeResult:
        yield Static(id="top")
        yield DataTable(cursor_type="row", cell_padding=0, zebra_stripes=False)
        yield Static(id="told")
        yield Input(placeholder="part of a name, a phase or a trouble", id="seek")
        yield Footer()

    def on_mount(self) -> None:
        table = self.query_one(DataTable)
        for name, width in COLUMNS.items():
            table.add_column(name, width=width, key=name)
        if self.poll is not None:
            self.set_interval(0.5, self.follow)
            self.set_interval(3.0, self.judge_now)
            self.follow()
        else:
            self.at = self.board.span()[0]
            self.set_interval(0.25, self.tick)
        self.refresh_board()

    # Live.

    def follow(self) -> None:
        assert self.poll is not None and isinstance(self.board, LiveBoard)
        self.at = time.time_ns()
        self.board.hear(self.poll(), self.at)
        self.refresh_board()

    def judge_now(self) -> None:
        assert isinstance(self.board, LiveBoard)
        self.judge(self.board.snapshot())

    @work(thread=True, exclusive=True)
    def judge(self, taken: list[bytes]) -> None:
        assert isinstance(self.board, LiveBoard)
        self.board.judge(taken)

    # Through time.

    def tick(self) -> None:
        if self.playing:
            self.action_step(1)

    def action_step(self, steps: int) -> None:
        first, last, step = self.board.span()
        if not self.board.live:
            self.at = min(max(self.at + steps * step, first), last)
            self.playing = self.playing and self.at < last
            self.refresh_board()

    def action_edge(self, end: int) -> None:
        if not self.board.live:
            self.at = self.board.span()[end]
            self.refresh_board()

    def action_next(self) -> None:
        if not self.board.live:
            later = [one.at for one in self.board.findings(self.board.span()[1]) if one.at > self.at]
            self.at = min(later, default=self.at)
            self.refresh_board()

    def action_play(self) -> None:
        self.playing = not self.playing

    # What is shown.

    def action_sort(self) -> None:
        names = list(SORTS)
        self.sort = names[(names.index(self.sort) + 1) % len(names)]
        self.refresh_board()

    def action_seek(self) -> None:
        box = self.query_one("#seek", Input)
        box.add_class("on")
        box.focus()

    def action_clear(self) -> None:
        box = self.query_one("#seek", Input)
        box.value = ""
        box.remove_class("on")
        self.query_one(DataTable).focus()

    def on_input_changed(self, event: Input.Changed) -> None:
        self.sought = event.value
        self.refresh_board()

    def on_input_submitted(self, _: Input.Submitted) -> None:
        self.query_one("#seek", Input).remove_class("on")
        self.query_one(DataTable).focus()

    def on_data_table_row_selected(self, event: DataTable.RowSelected) -> None:
        server = str(event.row_key.value)
        row = next((one for one in self.board.rows(self.at) if one.server == server), None)
        self.push_screen(Detail(server, self.board.detail(server, self.at), row))

    def refresh_board(self) -> None:
        rows = self.board.rows(self.at)
        self.show_top(rows)
        self.show_rows(chosen(rows, self.sort, self.sought))
        findings = self.board.findings(self.at)[-LINES:]
        lines = [f"{clock(one.at)} {one.text}" for one in findings]
        self.query_one("#told", Static).update(
            Text("\n".join(lines) or "no findings so far", no_wrap=True, overflow="ellipsis")
        )

    def show_top(self, rows: list[Row]) -> None:
        ready = sum(row.ready for row in rows)
        totals = [sum(getattr(row, name) for row in rows) for name in ("succeeded", "throttled", "errored")]
        mode = "live" if self.board.live else "playing" if self.playing else "stopped"
        sought = f" /{self.sought}" if self.sought else ""
        self.query_one("#top", Static).update(
            Text(
                f"{clock(self.at)} {mode}  {ready}/{len(rows)} ready  {totals[0]:.0f} ok/s "
                f"{totals[1]:.0f} away {totals[2]:.0f} err  by {self.sort}{sought}",
                no_wrap=True,
            )
        )

    def show_rows(self, rows: list[Row]) -> None:
        """Only what changed is written: three hundred rows of ten cells would cost a second otherwise."""
        table = self.query_one(DataTable)
        order = [row.server for row in rows]
        told = {row.server: cells(row) for row in rows}
        if order != self.order:
            place = self.order[table.cursor_row] if table.cursor_row < len(self.order) else ""
            table.clear()
            for name in order:
                table.add_row(*told[name], key=name)
            if place in told:
                table.move_cursor(row=order.index(place))
        else:
            for name, now in told.items():
                for column, old, new in zip(COLUMNS, self.shown[name], now, strict=True):
                    if old.plain != new.plain or old.style != new.style:
                        table.update_cell(name, column, new)
        self.order, self.shown = order, told


def run(board: Board, poll: Callable[[], list[Record]] | None = None) -> None:
    Console(board, poll).run()
