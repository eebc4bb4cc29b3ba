"""
Streams that are taken up again while all nodes are restarted in turn.

Two software versions of a service serve side by side, and requesters ask for
resumable streams. The nodes get SIGTERM one after the other, 2 s apart, and are
started again when they have ended. A node cuts the streams that are not done
when its drain ends. The requesters take these up at the nodes that the directory
names.
"""

import asyncio
import os
import random
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
NODES = 6
STREAMS = 72
INTERVAL_SECONDS = 0.25
EVENTS = 64
EVENT_SECONDS = 0.15
LIMIT_SECONDS = 12
# Time from the first stream to the first SIGTERM.
BEFORE_SECONDS = 3.0
GAP_SECONDS = 2.0
GRACE_SECONDS = 8.0
# The first try, and a few more.
TRIES = 4
PAUSE_SECONDS = 1.0
SERVICE = 'loom-models'
MODEL = 'm0'
ROUTES = [
    {
        'name': 'advice',
        'host': HOST,
        'prefix': '/advice/',
        'routeKind': 'streaming',
        'resumable': True,
        'service': SERVICE,
        'timeoutMs': LIMIT_SECONDS * 1000,
        'latencyGoalMs': 500,
        'priority': 1,
        'maxAttempts': 3,
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
SOFTWARE = ('v1', 'v1', 'v1', 'v2', 'v2', 'v2')
ZONES = ('hobart-a', 'melb-a', 'hobart-b')


class Stream:
    """A stream of a requester, over all of its tries."""

    def __init__(self, name):
        self.name = name
        self.first_attempt = ''
        self.last_event = 0
        self.is_whole = False
        # Machine, time, status and whether an event came, for each try.
        self.tries = []


async def case(deployment, record):
    """Restart all nodes in turn while streams run, and follow the streams."""
    replicas = [
        Engine(
            f'i-{number}',
            SERVICE,
            ZONES[number % 3],
            MODEL,
            lambda request_id: EVENTS,
            EVENT_SECONDS,
            version=software,
        )
        for number, software in enumerate(SOFTWARE)
    ]
    await deployment.start(NODES, ROUTES, SERVICES, replicas)
    await asyncio.sleep(5)
    rng = random.Random(7)
    streams = [Stream(f'{number:x}') for number in range(STREAMS)]
    tasks = []
    if TROUBLE:
        tasks += [
            asyncio.create_task(
                restart(node, BEFORE_SECONDS + number * GAP_SECONDS)
            )
            for number, node in enumerate(deployment.nodes)
        ]
    for stream in streams:
        tasks.append(
            asyncio.create_task(follow(deployment, record, rng, stream))
        )
        await asyncio.sleep(INTERVAL_SECONDS)
    await asyncio.gather(*tasks)
    return check(record, streams, replicas)


async def restart(node, after):
    """Stop a node as the platform does, and start it again."""
    await asyncio.sleep(after)
    node.signal(signal.SIGTERM)
    until = time.monotonic() + GRACE_SECONDS
    while node.process.poll() is None and time.monotonic() < until:
        await asyncio.sleep(0.02)
    node.end()
    await asyncio.sleep(0.3)
    node.start()


async def follow(deployment, record, rng, stream):
    """Ask for a stream; after a broken connection take it up again."""
    until = time.monotonic() + LIMIT_SECONDS
    for number in range(TRIES):
        if stream.is_whole or time.monotonic() > until:
            return
        if number > 1:
            await asyncio.sleep(PAUSE_SECONDS)
        node = await choose(deployment, rng)
        await try_once(record, node, stream, number, until)


async def choose(deployment, rng):
    """Return a node that the directory names, as a requester does."""
    for node in rng.sample(deployment.nodes, 3):
        addresses, _ = await deployment.resolve(node)
        if addresses:
            address = rng.choice(addresses)
            return next(n for n in deployment.nodes if n.address == address)
    return rng.choice(deployment.nodes)


async def try_once(record, node, stream, number, until):
    """Make one try at a stream, and record what came of it."""
    attempt = f'{stream.name}x{number}'
    headers = {
        'Host': HOST,
        'Attempt-Id': attempt,
        'Deadline-Ms': int(max(until - time.monotonic(), 0.1) * 1000),
    }
    is_resumed = stream.last_event > 0
    if is_resumed:
        headers['Last-Event-Id'] = stream.last_event
        headers['Resumes'] = stream.first_attempt
    before = stream.last_event
    is_in_touch = node.is_in_touch
    connection = Connection(node.address)
    buffered = bytearray()

    def take(chunk):
        buffered.extend(chunk)
        while b'\n\n' in buffered:
            event, _, rest = bytes(buffered).partition(b'\n\n')
            buffered[:] = rest
            event_id = int(event.split(b'\n')[0].split(b':')[1])
            stream.last_event = event_id
            if not stream.first_attempt:
                stream.first_attempt = attempt

    answer = await connection.send(
        'POST',
        '/advice/1',
        headers,
        b'prompt',
        max(until - time.monotonic(), 0.1),
        take,
    )
    connection.close()
    has_gone_on = stream.last_event > before
    stream.is_whole = answer.is_complete and stream.last_event == EVENTS
    stream.tries.append((is_resumed, is_in_touch, has_gone_on))
    record.add(
        f'{attempt} at {node.name}'
        f' ({"in touch" if is_in_touch else "not in touch"}),'
        f' after event {before}: {answer}; now at event {stream.last_event};'
        f' {answer.body[:110] if answer.status != 200 else ""}'
    )


def check(record, streams, replicas):
    """LOST: the share of taken up streams that go on, against new streams."""
    serving = {
        software: sum(
            replica.is_up and replica.entry['version'] == software
            for replica in replicas
        )
        for software in ('v1', 'v2')
    }
    record.add(f'replicas that serve, by software version: {serving}')
    # A stream that goes on at any node counts, if one of the tries to take it
    # up was at a machine in touch.
    taken_up = [
        any(gone_on for resumed, _, gone_on in stream.tries if resumed)
        for stream in streams
        if any(resumed and touch for resumed, touch, _ in stream.tries)
    ]
    # The first tries at machines in touch.
    begun = [stream.tries[0][2] for stream in streams if stream.tries[0][1]]
    share_on = sum(taken_up) / max(len(taken_up), 1)
    share_new = sum(begun) / max(len(begun), 1)
    record.add(
        f'streams taken up at machines in touch: {len(taken_up)}, of these went'
        f' on {sum(taken_up)} ({share_on:.2f}); new streams there: {len(begun)},'
        f' of these began {sum(begun)} ({share_new:.2f})'
    )
    whole = sum(stream.is_whole for stream in streams)
    record.add(f'whole in the end: {whole} of {len(streams)} streams')
    if min(serving.values()) < 2 or len(taken_up) < 12:
        return []
    if share_on < share_new / 2:
        return [f'LOST share {share_on:.2f} is under half of {share_new:.2f}']
    return []


if __name__ == '__main__':
    main(__file__, case, has_trouble=TROUBLE)
