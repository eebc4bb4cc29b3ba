"""Node processes on loopback, started as the deploy file says."""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

from http11 import call

TOP = Path(__file__).resolve().parent.parent.parent
HOST = 'pub.example'
METRICS_PORT = 9464


def find_ports(ip, count):
    """Return free ports of an address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind((ip, 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


def find_ip(number, used=set()):  # noqa: B006
    """Return a loopback address whose port for metrics is free."""
    while True:
        ip = f'127.{random.randrange(20, 220)}.{random.randrange(1, 250)}.{number + 1}'
        with socket.socket() as one:
            try:
                one.bind((ip, METRICS_PORT))
            except OSError:
                continue
        return ip


class Node:
    """One node process."""

    def __init__(
        self,
        folder,
        number,
        store_address,
        memory_mb=330,
        bounds=None,
        zone='leith',
    ):
        self.name = f'frontend-{zone}-{number + 1}'
        self.ip = find_ip(number)
        ports = find_ports(self.ip, 5)
        self.entry = f'{self.ip}:{ports[0]}'
        self.ready = f'{self.ip}:{ports[1]}'
        self.directory = f'{self.ip}:{ports[3]}'
        self.memory_mb = memory_mb
        self.log = folder / f'{self.name}.log'
        self._path = folder / f'{self.name}.json'
        self.process = None
        self._path.write_text(
            json.dumps(
                {
                    'nodeName': self.name,
                    'role': 'node',
                    'machineClass': 'frontend',
                    'serves': ['frontend', 'directory'],
                    'ip': self.ip,
                    'zone': zone,
                    'region': 'lowlands',
                    'zones': {
                        'leith': 'lowlands',
                        'inverness': 'highlands',
                        'govan': 'lowlands',
                    },
                    'listen': {
                        'frontend': self.entry,
                        'readiness': self.ready,
                        'directory': self.directory,
                    },
                    'internalPorts': [ports[4], ports[4]],
                    'seeds': [],
                    'bootstrap': True,
                    'limits': {
                        'cpuShare': 0.717,
                        'cores': 3,
                        'memoryMb': memory_mb,
                        'maxFds': 8200,
                        'linkMbps': 1000.0,
                        'diskMb': 0,
                    },
                    'dataDir': None,
                    'bounds': {
                        'stableWindowMs': 4000,
                        'ackMs': 5000,
                        'drainMs': 2500,
                        'graceS': 8,
                        'lossSlackMs': 200,
                        'configApplyMs': 2500,
                        'revertSlackMs': 250,
                        'outerMs': 6000,
                        'recoverS': 12,
                        'passMs': 250,
                        'retryAfterS': 0,
                        'finishS': 10,
                        'statusS': 120,
                        'cancelMs': 3000,
                        'settleMs': 1000,
                        'fenced': True,
                        'leaseMs': 3000,
                        'thawMs': 300,
                        'ttl_max_s': 5,
                        **(bounds or {}),
                    },
                    'platform': {
                        'address': store_address,
                        'form': 'table',
                        'writesPerS': 800,
                        'readsPerS': 2000,
                        'txMs': 5.0,
                        'partWritesPerS': 200,
                        'rowBytes': 65536,
                        'across': False,
                        'historyS': 20,
                        'blobBytes': 8388608,
                        'blobMs': 25.0,
                        'blobMbPerS': 80.0,
                    },
                }
            )
        )

    async def start(self):
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['KUMQUATLADDER_CONFIG'] = str(self._path)
        environment['PYTHONPATH'] = str(TOP / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3',
                'deploy/start.py',
                cwd=TOP,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def is_alive(self):
        """Return whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def kill(self):
        """End the process."""
        if self.is_alive():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            await self.process.wait()

    def read_memory(self, name):
        """Return a figure of the process's memory in MB, 0 if it ended."""
        try:
            status = Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0
        for line in status.splitlines():
            if line.startswith(f'{name}:'):
                return int(line.split()[1]) * 1024 / 1e6
        return 0

    async def await_ready(self, seconds=30):
        """Return when the node is ready."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            try:
                status, _, _ = await call(
                    self.ready, 'GET', '/kumquatladder/ready', seconds=1
                )
                if status == 200:
                    return
            except (OSError, TimeoutError):
                pass
            if not self.is_alive():
                break
            await asyncio.sleep(0.1)
        raise NotRunError(f'{self.name} did not become ready')


class NotRunError(Exception):
    """The case can't run here."""


def make_config(version=1, timeout_ms=2000, limits=None, more=()):
    """Return a manifest with a rollout route and its scorer's route."""

    def route(prefix, kind, service, **rest):
        return {
            'name': prefix.strip('/'),
            'host': HOST,
            'prefix': prefix,
            'routeKind': kind,
            'service': service,
            'timeoutMs': timeout_ms,
            'latencyGoalMs': 250,
            'priority': 1,
            'maxAttempts': 3,
            **rest,
        }

    return {
        'version': version,
        'routes': [
            route(
                '/notes/',
                'rollout',
                'engines',
                runTargetMs=7500,
                retentionS=40,
                timeoutMs=10000,
            ),
            route('/score/', 'idempotent', 'scorers'),
            *(route(*one) for one in more),
        ],
        'services': [
            {
                'name': 'engines',
                'healthPath': '/health',
                'maxConns': 130,
                'engine': {
                    'slots': 8,
                    'kvCapacity': 75774,
                    'stride': 59,
                    'models': [{'name': 'm0'}],
                },
            },
            {'name': 'scorers', 'healthPath': '/health', 'maxConns': 96},
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 33554432,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
            **(limits or {}),
        },
    }


class Record:
    """Writes `record.txt` in the folder of a case."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w')
        self._began = time.monotonic()

    def add(self, text):
        """Write a line."""
        line = f'{time.monotonic() - self._began:8.3f} {text}'
        print(line, flush=True)
        self._file.write(line + '\n')
        self._file.flush()


def run_case(case, folder):
    """Run a coroutine function of a folder and a record; exit as it says."""
    record = Record(folder)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.add(f'trouble: {has_trouble}')

    async def run():
        with tempfile.TemporaryDirectory() as temporary:
            async with asyncio.timeout(110):
                return await case(Path(temporary), record, has_trouble)

    try:
        is_broken = asyncio.run(run())
    except (NotRunError, TimeoutError, OSError) as error:
        record.add(f'the case could not run: {error!r}')
        sys.exit(2)
    record.add('the rule was broken' if is_broken else 'the rule held')
    sys.exit(1 if is_broken else 0)
