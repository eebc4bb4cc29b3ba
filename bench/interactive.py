"""Interactive calls at random times, and their latencies."""

import asyncio
import time
from collections.abc import Sequence

import aiohttp
import msgspec
import numpy as np
from hdrh.histogram import HdrHistogram

from bench.deployments import MODEL
from bench.experiment import InteractiveSettings
from bench.plans import APP_PLAN, make_secret

_MIN_LATENCY_MICROSECONDS = 1
_MAX_LATENCY_MICROSECONDS = 3_600_000_000
_SIGNIFICANT_DIGITS = 3
_MICROSECONDS_PER_SECOND = 1_000_000
_CALL_TIMEOUT_SECONDS = 60
_MILLISECONDS_PER_SECOND = 1000
_OK_STATUS = 200
_REFUSAL_STATUSES = frozenset((429, 503))
_SEED_OFFSET = 1_000_003


class InteractiveLoad:
    """
    Send calls at random times, without waiting for earlier responses.

    Parameters
    ----------
    settings : InteractiveSettings
        Rate, bursts and length of the calls.
    addresses : sequence of str
        Addresses of entry hosts; each call uses one at random.
    seed : int
        Seed of the random times, hosts and prompts.
    speed : float
        Scaled seconds in one real second.
    clients_ms : float
        One-way delay between a caller and a node, in milliseconds. The
        round trip is added to each measured latency.

    """

    def __init__(
        self,
        settings: InteractiveSettings,
        addresses: Sequence[str],
        seed: int,
        speed: float,
        clients_ms: float,
    ) -> None:
        self._settings = settings
        self._addresses = addresses
        self._rng = np.random.default_rng(seed + _SEED_OFFSET)
        self._speed = speed
        self._round_trip_seconds = 2 * clients_ms / _MILLISECONDS_PER_SECOND
        self._latencies = HdrHistogram(
            _MIN_LATENCY_MICROSECONDS,
            _MAX_LATENCY_MICROSECONDS,
            _SIGNIFICANT_DIGITS,
        )
        self._calls: set[asyncio.Task[None]] = set()
        self.answered = 0
        self.refused = 0
        self.failed = 0

    async def run(self) -> None:
        """Send calls until cancelled, then wait for those in flight."""
        if not self._settings.per_second:
            return
        timeout = aiohttp.ClientTimeout(_CALL_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            try:
                await self._send_calls(session)
            finally:
                await asyncio.gather(*self._calls)

    def find_latency(self, percentile: float) -> float:
        """Return a percentile of the latency, in real seconds."""
        microseconds = self._latencies.get_value_at_percentile(percentile)
        return float(microseconds) / _MICROSECONDS_PER_SECOND

    async def _send_calls(self, session: aiohttp.ClientSession) -> None:
        started_at = time.monotonic()
        due_at = started_at
        while True:
            scaled_seconds = (due_at - started_at) * self._speed
            rate = self._settings.find_rate(scaled_seconds) * self._speed
            due_at += self._rng.exponential(1 / rate)
            await asyncio.sleep(max(0, due_at - time.monotonic()))
            call = asyncio.create_task(self._call(session, due_at))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    async def _call(
        self, session: aiohttp.ClientSession, due_at: float
    ) -> None:
        try:
            status = await self._send(session)
        except (aiohttp.ClientError, TimeoutError):
            self.failed += 1
            return
        if status in _REFUSAL_STATUSES:
            self.refused += 1
        elif status == _OK_STATUS:
            self.answered += 1
            # The latency counts from the time at which the call was due, so
            # that a delay in sending it is included.
            elapsed_seconds = (
                time.monotonic() - due_at + self._round_trip_seconds
            )
            self._latencies.record_value(
                int(elapsed_seconds * _MICROSECONDS_PER_SECOND)
            )
        else:
            self.failed += 1

    async def _send(self, session: aiohttp.ClientSession) -> int:
        address = self._rng.choice(self._addresses)
        number = int(self._rng.integers(_MICROSECONDS_PER_SECOND))
        tokens = self._settings.tokens
        body = {
            'model': MODEL,
            'prompt': f'[length={tokens}] is line {number} in order',
            'max_tokens': tokens,
        }
        async with session.post(
            f'http://{address}/v1/completions',
            data=msgspec.json.encode(body),
            headers={'authorization': f'Bearer {make_secret(APP_PLAN)}'},
        ) as response:
            await response.read()
            return response.status
