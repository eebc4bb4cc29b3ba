"""Replica processes that crash under some requests and are started again."""

import contextlib
from dataclasses import replace
from enum import Enum, auto

from ladder_clients.probes import TargetProbe
from ladder_core.errors import (
    TargetChangedError,
    TargetLostError,
    TargetTimeoutError,
    TargetUnavailableError,
)

RESTART_SECONDS = 2.5


class EndManner(Enum):
    """Whether the address of an ended process refuses connections."""

    refuses = auto()
    # Runs break, and new connections are not answered.
    unreachable = auto()
    # Runs time out, too.
    silent = auto()


class ReplicaProcesses(TargetProbe):
    """
    Processes of the replicas of a deployment.

    A request whose body is in `crashing` ends each process that begins to run
    it. The process starts again after `RESTART_SECONDS`: under the name and at
    the address that `rename` returns. `crashes` holds the time of each crash
    and the body that caused it, `runs` the time of each run and its body.
    Calls of scorers take `call_seconds`, and a process crashes `crash_seconds`
    after the start of the run. With `keeps_entries` the entry of an ended
    process stays listed, and with `is_listing_late` the next process is not
    listed either; `misdirected` counts the runs sent to such addresses.
    `end_manner` says how an ended process is seen.
    """

    def __init__(self, timers):
        self.timers = timers
        self.registries = []
        self.crashing = set()
        self.crashes = []
        self.runs = []
        self.rename = keep_address
        self.starts = 0
        self.call_seconds = 0
        self.crash_seconds = 0
        self.probes = []
        self.end_manner = EndManner.refuses
        self.keeps_entries = False
        self.is_listing_late = False
        self.misdirected = 0
        self._ended = {}

    @contextlib.asynccontextmanager
    async def run(self, replica, body):
        self.check_running(replica)
        self.runs.append((self.timers.now(), body))
        if body in self.crashing:
            if self.crash_seconds:
                await self.timers.sleep(self.crash_seconds)
            self.crashes.append((self.timers.now(), body))
            self.end(replica)
            raise time_out() if self.end_manner is EndManner.silent else lose()
        yield ProcessRun(self, replica)

    def end(self, replica):
        """End a process, for example to kill it under no request."""
        self._ended.setdefault(
            (replica.name, replica.started_at),
            (self.timers.now() + RESTART_SECONDS, replica),
        )

    def is_ended(self, replica):
        return (replica.name, replica.started_at) in self._ended

    async def is_gone(self, address):
        self.probes.append(address)
        return self.end_manner is EndManner.refuses and any(
            replica is not None and replica.address == address
            for _, replica in self._ended.values()
        )

    def check_running(self, replica):
        if not self.is_ended(replica):
            return
        _, waiting = self._ended[replica.name, replica.started_at]
        if waiting is None:
            self.misdirected += 1
            raise TargetChangedError('changed', remedy='send elsewhere')
        raise TargetUnavailableError('refused', remedy='wait')

    def restart_due(self):
        now = self.timers.now()
        for key, (due, replica) in tuple(self._ended.items()):
            if due <= now and replica is not None:
                self._ended[key] = (due, None)
                self.starts += 1
                started = self.rename(
                    replace(replica, started_at=self.starts), self.starts
                )
                removed = {replica.name} - {started.name}
                for registry in self.registries:
                    registry.change(
                        [] if self.is_listing_late else [started],
                        [] if self.keeps_entries else removed,
                    )


class ProcessRun:
    """One run at a replica, which is lost when the process ends."""

    def __init__(self, processes, replica):
        self.processes = processes
        self.replica = replica

    async def work(self):
        if self.processes.call_seconds:
            await self.processes.timers.sleep(self.processes.call_seconds)
        self.check()

    def check(self):
        if self.processes.is_ended(self.replica):
            raise lose()


def keep_address(replica, number):
    return replica


def change_name(replica, number):
    return replace(replica, name=f'{replica.service}-{number}')


def change_address(replica, number):
    name = f'{replica.service}-{number}'
    return replace(replica, name=name, address=f'{name}:1')


def time_out():
    return TargetTimeoutError('silent', remedy='resume')


def lose():
    return TargetLostError('lost', remedy='resume')
