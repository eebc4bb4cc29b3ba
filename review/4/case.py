"""
Streams that a stopping node takes late in its drain, and then cuts.

Requesters that keep an answer of the directory for three times its time to
live ask for streams at a node 3.4 to 4.2 s after the node got SIGTERM. Each
stream takes 4.8 s, well inside all time limits.
"""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'standins'))

from deployment import HOST, main  # noqa: E402
from http11 import Connection  # noqa: E402
from replicas import Engine  # noqa: E402

# With TROUBLE=0 the same is done without the disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
EVENTS = 32
EVENT_SECONDS = 0.15
LIMIT_MS = 12000
MODEL = 'm0'
# Seconds after the SIGTERM; all are later than 3 and sooner than 3 x 1.5.
SENT_AT = (3.4, 3.6, 3.8, 4.0, 4.2)
GRACE_SECONDS = 8
SERVICE = 'loom-models'
ROUTES = [
    {
        'name': 'advice',
        'host': HOST,
        'prefix': '/advice/',
        'routeKind': 'streaming',
        'service': SERVICE,
        'timeoutMs': LIMIT_MS,
        'latencyGoalMs': 400,
        'priority': 1,
        'maxAttempts': 2,
    },
]
SERVICES = [
    {
        'name': SERVICE,
        'healthPath': '/health',
        'maxConns': 130,
        'engine': {
            'slots': 8,
            'kvCapacity': 107203,
            'models': [{'name': MODEL}],
        },
    },
]


async def case(deployment, record):
    """Stop a node, and send it streams that its callers may still send."""
    replicas = [
        Engine(
            f'i-{number}',
            SERVICE,
            zone,
            MODEL,
            lambda request_id: EVENTS,
            EVENT_SECONDS,
        )
        for number, zone in enumerate(('hobart-a', 'melb-a', 'hobart-b'))
    ]
    await deployment.start(3, ROUTES, SERVICES, replicas)
    node = deployment.nodes[0]
    # The machine is in touch before the planned work begins.
    await asyncio.sleep(6)
    addresses, ttl = await deployment.resolve(node)
    resolved_at = time.monotonic()
    record.add(f'the directory answers {addresses}, ttlS {ttl}')
    if node.address not in addresses:
        raise RuntimeError('the node is not among the addresses')
    stopped_at = time.monotonic()
    if TROUBLE:
        node.signal(signal.SIGTERM)
    answers = await asyncio.gather(
        *(
            send(
                record, node, number, stopped_at + after, resolved_at + 3 * ttl
            )
            for number, after in enumerate(SENT_AT)
        ),
        watch_end(record, node, stopped_at),
    )
    return check(record, answers[:-1], replicas)


async def send(record, node, number, at, kept_until):
    """Send one request over a new connection; return what came of it."""
    await asyncio.sleep(max(at - time.monotonic(), 0))
    if time.monotonic() > kept_until:
        return None
    request_id = f'a{number:015x}'
    connection = Connection(node.address)
    sent_at = time.monotonic()
    record.add(f'{request_id} is sent to {node.name}')
    answer = await connection.send(
        'POST',
        '/advice/1',
        {'Host': HOST, 'Attempt-Id': request_id, 'Deadline-Ms': LIMIT_MS},
        b'prompt',
        LIMIT_MS / 1000 + 1,
    )
    connection.close()
    took = time.monotonic() - sent_at
    record.add(f'{request_id}: {answer} after {took:.3f} s')
    return request_id, answer, took


async def watch_end(record, node, stopped_at):
    """Kill the process after the grace period, as the platform does."""
    while time.monotonic() < stopped_at + GRACE_SECONDS + 1:
        status = node.process.poll()
        if status is not None:
            record.add(f'{node.name} has ended with status {status}')
            return
        if TROUBLE and time.monotonic() > stopped_at + GRACE_SECONDS:
            record.add(f'{node.name} gets SIGKILL')
            node.process.kill()
        await asyncio.sleep(0.05)


def check(record, answers, replicas):
    """LOST: read whole, passed on, and ended without a complete answer."""
    runs = {run.request_id: run for replica in replicas for run in replica.runs}
    for run in runs.values():
        record.add(f'the replica ran {run}')
    breaks = []
    for entry in answers:
        if entry is None:
            continue
        request_id, answer, took = entry
        if answer.is_complete:
            continue
        if request_id in runs and took < LIMIT_MS / 1000:
            breaks.append(
                f'LOST {request_id}: passed on to {runs[request_id].replica}'
                f' and closed after {took:.3f} s of {LIMIT_MS / 1000:g} s:'
                f' {answer}'
            )
    return breaks


if __name__ == '__main__':
    main(__file__, case, has_trouble=TROUBLE)
