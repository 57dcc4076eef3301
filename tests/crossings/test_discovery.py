"""Reports to the announce service in each of its states, and descriptors that idle clients have filled."""

from __future__ import annotations

import os
import signal
from errno import EAGAIN, ENOBUFS
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.server import DatagramServer

from ringshift.lifecycle.configuration import read_address
from ringshift.runtime.bounds import OWN_DESCRIPTORS
from ringshift.wire import announce
from ringshift.wire.announce import Announcer
from standins.agent import Agent
from standins.announce import Announce
from standins.host import Host
from standins.sidecar import Sidecar

pytestmark = pytest.mark.alone

SOCKETS = 64  # the limit told, and set for the process
LINK, LINK_MADE_ANEW, FILE = 1, 1, 1  # descriptors that must be had with all connections taken


def at_once(job: str, kind: str, body: bytes) -> tuple[float, str, bytes]:
    return 0.0, "good", kind.encode() + b":" + body


def heard_last(listener: Announce) -> None:
    """Until all that was sent to a service has been heard: loopback keeps datagrams in their order."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(b"last", listener.server.address)
    with gevent.Timeout(10):
        while "last" not in listener.reports:
            listener.reported.wait()
            listener.reported.clear()
    listener.reports.remove("last")


def service_again(host: Host) -> None:
    """At the address that the program was told."""
    host.announce.server = DatagramServer(host.announce.server.address, host.announce.heard)  # type: ignore[arg-type]
    host.announce.server.start()


# Reports.


@pytest.mark.parametrize("when", ["at the start", "later"])
def test_a_service_that_is_lost_hears_again_once_it_is_back(when: str) -> None:
    """Nothing else depends on it meanwhile."""
    with Host(Agent(at_once, up=False)) as host:
        if when == "at the start":
            host.announce.server.stop(0)
        host.agent.up.set()
        sidecar = host.serving()
        if when == "later":
            host.wait(host.announce.reported, lambda: bool(host.announce.reports))
            host.announce.server.stop(0)
        sidecar.send(sidecar.call(1))
        assert sidecar.answer(1).status == 200
        host.announce.reports.clear()
        service_again(host)
        host.wait(host.announce.reported, lambda: "announce n3 true" in host.announce.reports)


def test_no_report_follows_the_notice() -> None:
    with Host(stop_ms=4000.0) as host:
        sidecar = host.serving()
        sidecar.send(sidecar.call(1, "order", HTTP_X_ALLOW_MS="9000"))
        host.agent.until(lambda: bool(host.agent.launches))
        host.wait(host.announce.reported, lambda: bool(host.announce.reports))
        host.process.send_signal(signal.SIGTERM)
        host.line("leaving: 1 in hand")
        heard_last(host.announce)
        host.announce.reports.clear()
        assert sidecar.answer(1).status == 500 and host.ended() == 0  # several reports' time later
        heard_last(host.announce)
        assert not host.announce.reports


def test_a_report_due_in_the_step_of_the_notice_is_not_sent() -> None:
    """Readiness turned in the same step: the report that it had woken went out after the notice."""
    listener = Announce()
    announcer = Announcer(read_address(listener.address, "announce"), "n3")
    announcer.start()
    with gevent.Timeout(10):
        listener.reported.wait()
    assert announcer.reporting is not None
    announcer.tell(False)
    announcer.stop()
    announcer.reporting.join(10)
    heard_last(listener)
    assert "announce n3 false" not in listener.reports
    listener.server.stop(0)


class Full:
    """A socket whose buffer is full, or whose network is down, until it is not."""

    def __init__(self, code: int, sock: Any) -> None:
        self.code, self.sock, self.refused, self.open = code, sock, 0, False

    def sendto(self, *told: Any) -> int:
        if not self.open:
            self.refused += 1
            raise OSError(self.code, "no room")
        return int(self.sock.sendto(*told))

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


@pytest.mark.parametrize("code", [EAGAIN, ENOBUFS])
def test_a_report_that_can_not_go_is_neither_waited_for_nor_taken_as_sent(
    monkeypatch: pytest.MonkeyPatch, code: int
) -> None:
    """One try at each turn, however long; the next that goes carries the state of then."""
    monkeypatch.setattr(announce, "EVERY", 0.05)
    listener, marks = Announce(), list[str]()
    announcer = Announcer(
        read_address(listener.address, "announce"), "n3", lambda token, _: marks.append(token)
    )
    full = Full(code, announcer.sock._sock)  # type: ignore[attr-defined]
    announcer.sock._sock = full  # type: ignore[attr-defined]
    announcer.start()
    with gevent.Timeout(10):
        while full.refused < 4:
            gevent.sleep(0.01)
    assert not marks
    announcer.ready, full.open = False, True
    with gevent.Timeout(10):
        listener.reported.wait()
    assert listener.reports[0] == "announce n3 false" and len(marks) == 1
    announcer.stop()
    listener.server.stop(0)


def test_the_list_may_lapse_while_requests_still_come() -> None:
    """Reports that no one hears cost nothing that arrives."""
    with Host(Agent(at_once)) as host:
        sidecar = host.serving()
        host.wait(host.announce.reported, lambda: bool(host.announce.reports))
        host.announce.server.stop(0)
        for request in range(1, 40):
            sidecar.send(sidecar.call(request))
            assert sidecar.answer(request).status == 200
            gevent.sleep(0.1)  # 3.9 s in all: an entry lapses after 3
        assert host.process.poll() is None


# Descriptors.

LIMITED = (
    f"import resource, sys; resource.setrlimit(resource.RLIMIT_NOFILE, ({SOCKETS}, {SOCKETS})); "
    "from ringshift.lifecycle.entry import run; sys.exit(run())"
)


def descriptors(host: Host) -> list[str]:
    folder = Path("/proc", str(host.process.pid), "fd")
    found = []
    for entry in folder.iterdir():
        try:
            found.append(os.readlink(entry))
        except FileNotFoundError:  # closed meanwhile
            continue
    return found


def processor_seconds(host: Host) -> float:
    fields = Path("/proc", str(host.process.pid), "stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def test_what_the_program_holds_for_itself_leaves_room_for_all_that_it_makes_anew() -> None:
    """A told limit is kept with the old link, a new one and the file open beside all connections."""
    with Host(Agent(at_once)) as host:
        host.serving().sock.close()
        with gevent.Timeout(10):
            while len([name for name in descriptors(host) if name.startswith("socket:")]) > 3:
                gevent.sleep(0.01)  # the listener, the agent's link and the reports' socket are left
        assert len(descriptors(host)) + LINK_MADE_ANEW + FILE <= OWN_DESCRIPTORS


def fill(host: Host, half_sent: bool) -> list[Sidecar]:
    """As many as the limit, and more in the backlog. Those within a request can't make room for others until
    the sweep gives them up."""
    clients = [host.sidecar() for _ in range(SOCKETS + 40)]
    for client in clients if half_sent else ():
        client.send(client.call(1)[:30])
    with gevent.Timeout(10):
        while len(descriptors(host)) < SOCKETS - OWN_DESCRIPTORS:
            gevent.sleep(0.01)
    return clients


@pytest.mark.parametrize("half_sent", [False, True], ids=["silent", "half sent"])
def test_with_all_connections_taken_link_file_and_check_still_find_a_descriptor(half_sent: bool) -> None:
    with Host(Agent(at_once), sockets=SOCKETS, command=("-c", LIMITED)) as host:
        host.serving().sock.close()
        host.announce.server.stop(0)
        clients = fill(host, half_sent)
        agent = host.agent
        agent.cut_link()
        agent.until(lambda: len(agent.ports) == 2)
        server = agent.serve()
        host.replace(agent="{}:{}".format(*server.address))
        host.line("configuration read")
        agent.until(lambda: agent.ports[-1] == server.address[1])
        check = host.sidecar()
        check.send(check.check(deep=True))
        assert check.answer(1).status == 200
        assert len(descriptors(host)) <= SOCKETS
        assert not [line for line in host.lines if "Too many open files" in line]
        assert len(clients) == SOCKETS + 40 and host.process.poll() is None


def test_without_room_for_connections_the_program_does_not_spin() -> None:
    """All connections within a request, more in the backlog: a third of a core at most while it waits."""
    with Host(Agent(at_once), sockets=SOCKETS, command=("-c", LIMITED)) as host:
        host.serving().sock.close()
        host.announce.server.stop(0)
        clients = fill(host, True)
        host.line("no room for a connection")
        before = processor_seconds(host)
        gevent.sleep(1.0)
        assert processor_seconds(host) - before < 0.33
        assert host.process.poll() is None and clients
