"""
Items that are given up since the route of their reward calls was away.

A trainer's step runs. A manifest leaves out the route of the reward calls, and
the next one, 3 s later, has it again. The items whose texts become complete in
between are listed as `terminated`, for good.
"""

import asyncio
import base64
import json
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'standins'))

from deployment import HOST, main  # noqa: E402
from http11 import call  # noqa: E402
from replicas import Engine, make_scorer, make_stamp  # noqa: E402

# With TROUBLE=0 the same is done without the disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
MODEL = 'm0'
ENGINES = 'loom-models'
SCORERS = 'sockshop-app'
ZONES = ('hobart-a', 'melb-a', 'hobart-b')
GROUPS = 6
GROUP_SIZE = 4
EVENT_SECONDS = 0.1
STEP_SECONDS = 12.0
# Time from the submission to the manifest without the route, and to the next.
LEFT_OUT_AT = 1.0
BACK_AFTER = 3.0
BATCH = '7c41e09b52d6a301'
ROUTES = [
    {
        'name': 'advice',
        'host': HOST,
        'prefix': '/advice/',
        'routeKind': 'rollout',
        'service': ENGINES,
        'timeoutMs': 10000,
        'latencyGoalMs': 500,
        'priority': 0,
        'maxAttempts': 3,
        'runTargetMs': 7500,
        'retentionS': 40,
    },
    {
        'name': 'stock',
        'host': HOST,
        'prefix': '/stock/',
        'routeKind': 'idempotent',
        'service': SCORERS,
        'timeoutMs': 2000,
        'latencyGoalMs': 500,
        'priority': 2,
        'maxAttempts': 4,
    },
]
SERVICES = [
    {
        'name': ENGINES,
        'healthPath': '/health',
        'maxConns': 130,
        'engine': {
            'slots': 8,
            'kvCapacity': 107203,
            'stride': 1,
            'models': [{'name': MODEL}],
        },
    },
    {'name': SCORERS, 'healthPath': '/health', 'maxConns': 96},
]


def find_length(item):
    """Return the number of events of an item's text."""
    return 10 + int(item, 16) % 24


async def case(deployment, record):
    """Run one step while the route of its reward calls goes and returns."""
    engines = [
        Engine(f'e-{number}', ENGINES, zone, MODEL, find_length, EVENT_SECONDS)
        for number, zone in enumerate(ZONES)
    ]
    scorers = [
        make_scorer(f's-{number}', SCORERS, zone, slots=6)
        for number, zone in enumerate(ZONES)
    ]
    await deployment.start(3, ROUTES, SERVICES, [*engines, *scorers])
    await asyncio.sleep(5)
    rng = random.Random(5)
    items = [f'{number:016x}' for number in range(GROUPS * GROUP_SIZE)]
    await submit(deployment, record, rng, 1, BATCH, items)
    reading = asyncio.create_task(
        read(deployment, record, rng, BATCH, len(items))
    )
    await asyncio.sleep(LEFT_OUT_AT)
    if TROUBLE:
        deployment.put_manifest(ROUTES[:1], SERVICES)
        await asyncio.sleep(BACK_AFTER)
        deployment.put_manifest(ROUTES, SERVICES)
    results = await reading
    record.add(f'{len(results)} of {len(items)} items listed')
    calls = sum(len(scorer.runs) for scorer in scorers)
    record.add(f'reward calls that ran: {calls}, each answered 200')
    return [text for text in map(judge, results) if text]


async def submit(deployment, record, rng, step, batch, items):
    """Submit the step, at another node after each refusal."""
    message = {
        'step': step,
        'model': MODEL,
        'minVersion': 1,
        'targetGroups': GROUPS,
        'requests': [
            make_item(item, number) for number, item in enumerate(items)
        ],
    }
    for _ in range(20):
        node = rng.choice(deployment.nodes)
        answer = await call(
            node.address,
            'POST',
            f'/advice/{batch}',
            {'Host': HOST, 'Attempt-Id': batch},
            json.dumps(message).encode(),
            3,
        )
        record.add(f'step {step} is submitted at {node.name}: {answer}')
        if answer.status == 202:
            return
        await asyncio.sleep(0.3)
    raise RuntimeError('the step was not accepted')


def make_item(item, number):
    """Return an item as a trainer submits it."""
    tokens = 4 * find_length(item)
    return {
        'id': item,
        'path': f'/advice/3/{item}',
        'headers': {
            'Model': MODEL,
            'Token-Counts': f'16,{tokens}',
            'Prompt-Prefix': f'{number + 10:x}:16',
        },
        'body': base64.b64encode(b'prompt ' + item.encode()).decode(),
        'tokens': 16 + tokens,
        'group': f'{item[:4]}g{number // GROUP_SIZE}',
        'scorer': {
            'id': f'f{item[1:]}',
            'host': HOST,
            'path': '/stock/1',
            'body': base64.b64encode(b'score').decode(),
        },
    }


async def read(deployment, record, rng, batch, count):
    """Read results twice a second until all are there, or time is out."""
    results = []
    until = time.monotonic() + STEP_SECONDS
    while time.monotonic() < until and len(results) < count:
        answer = await call(
            rng.choice(deployment.nodes).address,
            'GET',
            f'/kumquatladder/lots/{batch}?after={len(results)}',
            {'Host': HOST},
            seconds=3,
        )
        if answer.status == 200:
            for result in json.loads(answer.body)['results']:
                record.add(f'listed: {result["id"]} {result["state"]}')
                results.append(result)
        await asyncio.sleep(0.5)
    return results


def judge(result):
    """MIXED: `terminated` without one of the reasons that the rule names."""
    item = result['id']
    if result['state'] != 'completed':
        return (
            f'MIXED {item}: {result["state"]} after no 422 and no 500, before'
            ' `retentionS`, the end of its batch submission or of its route'
        )
    if result.get('score') != make_stamp(f'f{item[1:]}'):
        return f'MIXED {item}: score {result.get("score")}'
    return ''


if __name__ == '__main__':
    main(__file__, case, has_trouble=TROUBLE)
