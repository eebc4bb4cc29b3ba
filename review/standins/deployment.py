"""
Nodes of kumquatladder as separate processes, with stand-ins around them.

The processes are started with the command of `deploy/system.toml`.
"""

import asyncio
import contextlib
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

from http11 import call
from store import Store

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = 'pub.example'
HELD, BROKEN, NOT_RUN = 0, 1, 2
METRICS_PORT = 9464
READY_SECONDS = 25
LIMIT_SECONDS = 112
ZONES = ('hobart-a', 'melb-a', 'hobart-b')
REGIONS = {
    'hobart-a': 'tas-south',
    'melb-a': 'vic-metro',
    'hobart-b': 'tas-south',
}
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'stableWindowMs': 4000,
    'ackMs': 5000,
    'catchUpS': 4.3,
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
    'quotaOvershoot': 0.1,
    'fenced': False,
    'leaseMs': 3000,
    'thawMs': 300,
    'ttl_max_s': 5,
}
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 33554432,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}


class NotRunnableError(Exception):
    """The case could not run on this machine."""


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, folder):
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._began = time.monotonic()

    def now(self):
        """Return the seconds since the record was begun."""
        return time.monotonic() - self._began

    def add(self, text):
        """Add a line."""
        self._file.write(f'{self.now():8.3f}  {text}\n')
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


class Node:
    """One machine of the deployment, and its process."""

    def __init__(self, name, ip, zone, ports, folder, store, record):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.started_at = 0.0
        self.is_stopping = False
        self.process = None
        self.log = folder / f'{name}.log'
        self._ports = ports
        self._path = folder / f'{name}.json'
        self._store = store
        self._record = record

    @property
    def address(self):
        """Address for requesters."""
        return f'{self.ip}:{self._ports[0]}'

    @property
    def readiness(self):
        """Address for the platform's readiness checks."""
        return f'{self.ip}:{self._ports[1]}'

    @property
    def directory(self):
        """Address at which requesters ask where to connect."""
        return f'{self.ip}:{self._ports[2]}'

    @property
    def is_in_touch(self):
        """Whether the process has run for `stableWindowMs`, and isn't stopped."""
        age = time.monotonic() - self.started_at
        return age >= BOUNDS['stableWindowMs'] / 1000 and not self.is_stopping

    def start(self):
        """Start the process with the command of the deploy file."""
        self._path.write_text(json.dumps(self._make_settings()))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        kept = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                shlex.split(deploy['roles']['node']['run']),
                cwd=ROOT,
                env={
                    **kept,
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'KUMQUATLADDER_CONFIG': str(self._path),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.started_at = time.monotonic()
        self.is_stopping = False
        self._record.add(f'{self.name} started at {self.address}')

    def signal(self, number):
        """Send a signal to the process."""
        self._record.add(f'{self.name} gets {signal.Signals(number).name}')
        self.is_stopping = number == signal.SIGTERM
        self.process.send_signal(number)

    async def is_ready(self):
        """Ask as the platform does."""
        answer = await call(
            self.readiness, 'GET', '/kumquatladder/ready', seconds=1
        )
        return answer.status == 200

    async def wait_ready(self):
        """Wait until the platform counts the node as ready."""
        until = time.monotonic() + READY_SECONDS
        while not await self.is_ready():
            if self.process.poll() is not None:
                tail = self.log.read_text(errors='replace')[-2000:]
                raise NotRunnableError(f'{self.name} has ended: {tail}')
            if time.monotonic() > until:
                raise NotRunnableError(f'{self.name} is not ready')
            await asyncio.sleep(0.05)
        self._record.add(f'{self.name} is ready')

    def end(self):
        """Kill the process if it still runs."""
        if self.process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()

    def _make_settings(self):
        frontend, readiness, directory, control, internal = self._ports
        return {
            'nodeName': self.name,
            'role': 'node',
            'machineClass': 'frontend',
            'serves': ['frontend', 'directory'],
            'ip': self.ip,
            'zone': self.zone,
            'region': REGIONS[self.zone],
            'zones': REGIONS,
            'listen': {
                'frontend': f'{self.ip}:{frontend}',
                'readiness': f'{self.ip}:{readiness}',
                'control': f'{self.ip}:{control}',
                'directory': f'{self.ip}:{directory}',
            },
            'internalPorts': [internal, internal],
            'seeds': [],
            'bootstrap': True,
            'inTolerance': False,
            'limits': {
                'cpuShare': 0.717,
                'cores': 3,
                'memoryMb': 310,
                'maxFds': 8200,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'directory',
            'heartbeatMs': 1200,
            'contracts': [
                'base',
                'drain',
                'config',
                'cost',
                'recover',
                'samples',
                'stream',
                'engine',
                'batch',
                'platform',
            ],
            'faultTolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {
                'address': self._store.address,
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


class Deployment:
    """Nodes, the store and the replicas of one case."""

    def __init__(self, folder, record):
        self.record = record
        self.store = Store()
        self.nodes = []
        self.replicas = []
        self._folder = folder
        self._version = 0

    async def start(self, nodes, routes, services, replicas):
        """Start the stand-ins, then the nodes, and wait until they serve."""
        await self.store.start()
        self.put_manifest(routes, services)
        for replica in replicas:
            self.replicas.append(replica)
            await replica.start(self.store, self.record)
        self._place_nodes(nodes)
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await node.wait_ready()

    def put_manifest(self, routes, services):
        """Put a manifest as the operator does."""
        self._version += 1
        self.store.put(
            'op',
            'config',
            {
                'version': self._version,
                'routes': routes,
                'services': services,
                'limits': LIMITS,
            },
        )
        self.record.add(f'manifest {self._version} is acknowledged')

    def name_version(self, model, version):
        """Name a version of a model as its trainer does."""
        self.store.put(
            'op', f'version/{model}', {'model': model, 'version': version}
        )
        self.record.add(f'version {version} of {model} is named')

    async def resolve(self, node):
        """Return the addresses and the time to live that a node answers."""
        answer = await call(
            node.directory,
            'GET',
            f'/kumquatladder/resolve?name={HOST}&region={REGIONS[node.zone]}'
            f'&zone={node.zone}',
            seconds=1,
        )
        if answer.status != 200:
            return [], 0.0
        message = json.loads(answer.body)
        return message['addresses'], message['ttlS']

    def end(self):
        """End all processes."""
        for node in self.nodes:
            node.end()
        for replica in self.replicas:
            replica.end()

    def _place_nodes(self, count):
        rng = random.SystemRandom()
        for _ in range(50):
            network = f'127.{rng.randint(10, 250)}.{rng.randint(0, 250)}'
            ips = [f'{network}.{number + 1}' for number in range(count)]
            ports = [rng.randint(12000, 30000) for _ in range(5)]
            if _are_free(ips, [*ports, METRICS_PORT]):
                break
        else:
            raise NotRunnableError('no free ports')
        for number, ip in enumerate(ips):
            zone = ZONES[number % len(ZONES)]
            name = f'frontend-{zone}-{number // len(ZONES) + 1}'
            self.nodes.append(
                Node(
                    name,
                    ip,
                    zone,
                    ports,
                    self._folder,
                    self.store,
                    self.record,
                )
            )


def _are_free(ips, ports):
    if len(set(ports)) < len(ports):
        return False
    for ip in ips:
        for port in ports:
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((ip, port))
                except OSError:
                    return False
    return True


def main(case_file, case, *, has_trouble):
    """Run a case: `case(deployment, record)` returns the breaks it found."""
    folder = Path(case_file).resolve().parent
    record = Record(folder)
    scratch = Path(tempfile.mkdtemp(prefix='review-'))
    deployment = Deployment(scratch, record)
    status = NOT_RUN

    def stop(*_):
        raise SystemExit(NOT_RUN)

    signal.signal(signal.SIGTERM, stop)
    try:
        record.add(f'trouble: {"yes" if has_trouble else "no"}')
        breaks = asyncio.run(_limit(case, deployment, record))
        for text in breaks:
            record.add(f'BROKEN {text}')
        status = BROKEN if breaks else HELD
    except NotRunnableError as error:
        record.add(f'not run: {error}')
    except Exception:
        record.add(f'not run: {traceback.format_exc()}')
    finally:
        deployment.end()
        if os.environ.get('KEEP_LOGS'):
            for log in scratch.glob('*.log'):
                shutil.copy(log, os.environ['KEEP_LOGS'])
        shutil.rmtree(scratch, ignore_errors=True)
        record.add(f'exit {status}')
        record.close()
    sys.stdout.write(f'{folder.name}: exit {status}\n')
    sys.exit(status)


async def _limit(case, deployment, record):
    async with asyncio.timeout(LIMIT_SECONDS):
        return await case(deployment, record)
