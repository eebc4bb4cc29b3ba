"""What trainers and callers send."""

import asyncio
import base64
import json
import time

from http11 import call
from lab import HOST


def make_item(number, batch, **more):
    """Return an item of a batch with a reward call."""
    name = f'{batch}i{number:04d}'
    item = {
        'id': name,
        'path': f'/notes/{number}/x',
        'headers': {
            'Model': 'm0',
            'Token-Counts': '316,4000',
            'Prompt-Prefix': '9c2e41:300,5d07b8:16',
        },
        'body': base64.b64encode(b'prompt').decode(),
        'tokens': 4316,
        'group': f'{batch}g{number // 4}',
        'scorer': {
            'id': f'{name}s',
            'host': HOST,
            'path': f'/score/{number}',
            'body': base64.b64encode(b'reward').decode(),
        },
    }
    headers = {**item['headers'], **more.pop('headers', {})}
    return {**item, **more, 'headers': headers}


def make_batch(items, step=0):
    """Return the body of a submission."""
    groups = {item['group'] for item in items}
    return json.dumps(
        {
            'step': step,
            'model': 'm0',
            'minVersion': 0,
            'targetGroups': len(groups),
            'requests': items,
        }
    ).encode()


async def submit(address, batch, body, source=None, seconds=6.0):
    """Return the status of one submission; 0 without an answer."""
    try:
        status, _, _ = await call(
            address,
            'POST',
            '/notes/new',
            {
                'Host': HOST,
                'Attempt-Id': batch,
                'Content-Type': 'application/json',
            },
            body,
            seconds,
            source,
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0
    return status


async def submit_until_accepted(address, batch, body, seconds=10):
    """Submit until a 202; return whether it came."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if await submit(address, batch, body) == 202:
            return True
        await asyncio.sleep(0.3)
    return False


async def read_results(address, batch, after=0, seconds=4.0):
    """Return the results from a position on; None without a 200."""
    try:
        status, _, body = await call(
            address,
            'GET',
            f'/kumquatladder/lots/{batch}?after={after}',
            {'Host': HOST, 'Wait-Ms': '500'},
            b'',
            seconds,
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    return json.loads(body)['results'] if status == 200 else None


async def read_all(address, batch, total, seconds):
    """Read until all results are listed or a time is over."""
    results = []
    deadline = time.monotonic() + seconds
    while len(results) < total and time.monotonic() < deadline:
        found = await read_results(address, batch, len(results))
        results += found or []
        await asyncio.sleep(0.2)
    return results
