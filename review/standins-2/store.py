"""A stand-in for the platform's store: rows, their feed, raw objects."""

import asyncio
import json
import time
from urllib.parse import unquote

from http11 import Response, Server

_JSON = {'Content-Type': 'application/json'}
_MAX_TX_ENTRIES = 100
_MAX_TX_BYTES = 1 << 20
_ROW_BYTES = 65536
_BLOB_TOTAL_BYTES = 400_000_000
_BLOB_SECONDS = 0.025
_BLOB_BYTES_PER_SECOND = 80e6
_WRITES_PER_SECOND = 800
_READS_PER_SECOND = 2000
_MAX_PART_WAIT_SECONDS = 1
_PAGE_ROWS = 500
_PAGE_BYTES = 1 << 20


class Store:
    """Keep everything that was acknowledged; answers are linearizable."""

    def __init__(self, blob_bytes=8388608, tx_seconds=0.005):
        self.rows = {}
        self.ver = 0
        self.blobs = {}
        self.refused = []
        self.is_down = False
        self._history = []
        self._changed = asyncio.Event()
        self._blob_bytes = blob_bytes
        self._tx_seconds = tx_seconds
        self._server = Server(self.handle)
        self.address = ''
        self._calls = {}
        self._part_free_at = {}
        self._blob_free_at = 0

    async def start(self, host='127.0.0.1'):
        """Listen at a free port."""
        self.address = f'{host}:{await self._server.start(host)}'

    async def close(self):
        """Stop."""
        await self._server.close()

    def put(self, table, key, message, part=''):
        """Write a row on behalf of the operator or of a replica."""
        import base64

        value = base64.b64encode(json.dumps(message).encode()).decode()
        self._apply([(table, part, key, value)])

    def remove(self, table, key, part=''):
        """Remove a row on behalf of the platform."""
        self._apply([(table, part, key, None)])

    def find(self, table, key, part=''):
        """Return the decoded content of a row, or None."""
        import base64

        row = self.rows.get((table, part, key))
        return json.loads(base64.b64decode(row[0])) if row else None

    def _apply(self, writes):
        self.ver += 1
        for table, part, key, value in writes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = (value, self.ver)
            self._history.append((self.ver, table, part, key))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def handle(self, request):
        """Answer one call."""
        if self.is_down:
            return Response(503)
        path = request.path
        if self._is_over_rate(path):
            return Response(429)
        if path == '/kumquatladder/rows-tx':
            return await self._commit(request)
        if path == '/kumquatladder/rows-get':
            return self._get(request.query)
        if path == '/kumquatladder/rows-parts':
            table = request.query['table']
            parts = sorted({k[1] for k in self.rows if k[0] == table})
            return self._answer(200, [], {'parts': parts, 'morePages': False})
        if path == '/kumquatladder/rows-feed':
            return await self._feed(request.query)
        if path.startswith('/kumquatladder/blob-'):
            return await self._blob(request)
        return Response(404)

    async def _commit(self, request):
        message = json.loads(request.body)
        puts = message.get('put') or []
        removes = message.get('remove') or []
        conditions = message.get('expectedRev') or []
        entries = [*puts, *removes, *conditions]
        parts = {entry.get('part', '') for entry in entries}
        if (
            len(request.body) > _MAX_TX_BYTES
            or len(entries) > _MAX_TX_ENTRIES
            or len(parts) > 1
            or any(len(row['value']) * 3 // 4 > _ROW_BYTES + 2 for row in puts)
        ):
            self.refused.append((time.time(), len(request.body), len(entries)))
            return Response(400)
        part = next(iter(parts), '')
        now = time.monotonic()
        free_at = max(self._part_free_at.get(part, 0), now)
        if free_at - now > _MAX_PART_WAIT_SECONDS:
            return Response(429)
        self._part_free_at[part] = free_at + self._tx_seconds
        await asyncio.sleep(free_at + self._tx_seconds - now)
        failed = False
        present = []
        for row in conditions:
            key = (row['table'], row.get('part', ''), row['key'])
            found = self.rows.get(key)
            failed |= (found[1] if found else 0) != row.get('ver', 0)
            if found:
                present.append(self._row(key))
        if failed:
            return self._answer(412, present)
        self._apply(
            [
                (row['table'], row.get('part', ''), row['key'], row['value'])
                for row in puts
            ]
            + [
                (row['table'], row.get('part', ''), row['key'], None)
                for row in removes
            ]
        )
        return self._answer(200, [])

    def _is_over_rate(self, path):
        """Return whether a call is beyond the rates of all nodes together."""
        is_write = path == '/kumquatladder/rows-tx' or 'blob-put' in path
        limit = _WRITES_PER_SECOND if is_write else _READS_PER_SECOND
        second = int(time.monotonic())
        known, count = self._calls.get(is_write, (second, 0))
        count = count + 1 if known == second else 1
        self._calls[is_write] = (second, count)
        return count > limit

    async def _take_blob_time(self, size):
        """Wait for the time of a call, whose bytes share one rate."""
        now = time.monotonic()
        free_at = max(self._blob_free_at, now) + size / _BLOB_BYTES_PER_SECOND
        self._blob_free_at = free_at
        await asyncio.sleep(free_at - now + _BLOB_SECONDS)

    def _get(self, query):
        first, last = query.get('from', ''), query.get('to')
        limit = min(int(query.get('limit', _PAGE_ROWS)), _PAGE_ROWS)
        keys = sorted(
            key
            for key in self.rows
            if key[0] == query['table']
            and key[1] == query.get('part', '')
            and key[2] >= first
            and (last is None or key[2] < last)
        )
        rows, size, more = [], 0, False
        for key in keys:
            size += len(self.rows[key][0])
            if len(rows) == limit or (rows and size > _PAGE_BYTES):
                more = True
                break
            rows.append(self._row(key))
        return self._answer(200, rows, {'morePages': more})

    async def _feed(self, query):
        table, after = query['table'], int(query['after'])
        deadline = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            changed = self._changed
            keys = dict.fromkeys(
                (t, p, k)
                for v, t, p, k in self._history
                if v > after and t == table
            )
            left = deadline - time.monotonic()
            if keys or left <= 0 or self.is_down:
                break
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                pass
        return self._answer(200, [self._row(key) for key in keys])

    async def _blob(self, request):
        verb, _, name = request.path.removeprefix(
            '/kumquatladder/blob-'
        ).partition('/')
        name = unquote(name)
        await self._take_blob_time(len(request.body))
        if verb == 'put':
            if len(request.body) > self._blob_bytes:
                return Response(413)
            if request.headers.get('if-none-match') == '*':
                if name in self.blobs:
                    return Response(412)
            total = sum(map(len, self.blobs.values()))
            if total + len(request.body) > _BLOB_TOTAL_BYTES + len(
                self.blobs.get(name, b'')
            ):
                return Response(507)
            self.blobs[name] = request.body
            return Response(200)
        if verb == 'get':
            if name not in self.blobs:
                return Response(404)
            body = self.blobs[name]
            await self._take_blob_time(len(body))
            return Response(200, {}, body)
        if verb == 'drop':
            self.blobs.pop(name, None)
            return Response(200)
        names = sorted(
            one
            for one in self.blobs
            if one.startswith(request.query.get('prefix', ''))
        )
        return Response(
            200,
            _JSON,
            json.dumps({'names': names, 'morePages': False}).encode(),
        )

    def _row(self, key):
        table, part, name = key
        row = {'table': table, 'key': name, 'part': part}
        found = self.rows.get(key)
        if found is None:
            return {**row, 'removed': True}
        return {**row, 'value': found[0], 'ver': found[1]}

    def _answer(self, status, rows, more=None):
        message = {
            'ver': self.ver,
            'nowMs': int(time.monotonic() * 1000),
            'rows': rows,
            'morePages': False,
            **(more or {}),
        }
        return Response(status, _JSON, json.dumps(message).encode())
