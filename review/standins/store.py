"""
A stand-in for the platform's store: rows, their feed, and raw objects.

It follows the page PROTOCOL.md, section "The platform's metadata store".
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

from http11 import Server, format_response

PREFIX = '/kumquatladder'
ANSWER_SECONDS = 0.004
READ_ONLY = frozenset(('op', 'servers'))
MAX_ROWS = 500


class Store:
    """The store of one deployment."""

    def __init__(self):
        self.server = Server(self._handle)
        self._rows = {}
        self._latest = {}
        self._objects = {}
        self._ver = 0
        self._changed = asyncio.Event()

    @property
    def address(self):
        """Address of the store."""
        return self.server.address

    async def start(self):
        """Listen on a free port."""
        await self.server.start()

    def put(self, table, key, message):
        """Write a row on behalf of the operator or of a replica."""
        value = base64.b64encode(json.dumps(message).encode()).decode()
        self._apply([(table, '', key, value)])

    def remove(self, table, key):
        """Remove a row on behalf of the platform."""
        self._apply([(table, '', key, None)])

    def _apply(self, writes):
        self._ver += 1
        for table, part, key, value in writes:
            rows = self._rows.setdefault((table, part), {})
            if value is None:
                rows.pop(key, None)
            else:
                rows[key] = (value, self._ver)
            self._latest.setdefault(table, {})[part, key] = (
                self._ver,
                value is None,
            )
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _find(self, table, part, key):
        return self._rows.get((table, part), {}).get(key, (None, 0))

    async def _handle(self, request):
        await asyncio.sleep(ANSWER_SECONDS)
        url = urlsplit(request.target)
        query = {
            name: values[0]
            for name, values in parse_qs(
                url.query, keep_blank_values=True
            ).items()
        }
        path = url.path.removeprefix(PREFIX)
        if path == '/rows-tx':
            status, message = self._commit(json.loads(request.body))
        elif path == '/rows-get':
            status, message = 200, self._read(query)
        elif path == '/rows-parts':
            status, message = 200, self._list_parts(query)
        elif path == '/rows-feed':
            status, message = 200, await self._watch(query)
        elif path.startswith('/blob-'):
            return self._serve_object(request, path)
        else:
            status, message = 404, {}
        body = json.dumps(message).encode()
        request.writer.write(
            format_response(status, {'Content-Type': 'application/json'}, body)
        )
        return True

    def _commit(self, call):
        expected = call.get('expectedRev') or []
        puts = call.get('put') or []
        removals = call.get('remove') or []
        entries = [*expected, *puts, *removals]
        if len(entries) > 100 or len({e.get('part', '') for e in entries}) > 1:
            return 400, {}
        if any(entry['table'] in READ_ONLY for entry in (*puts, *removals)):
            return 403, {}
        current = [
            (
                entry,
                *self._find(
                    entry['table'], entry.get('part', ''), entry['key']
                ),
            )
            for entry in expected
        ]
        if any(ver != entry.get('ver', 0) for entry, _, ver in current):
            rows = [
                self._encode(
                    entry['table'], entry.get('part', ''), entry['key']
                )
                for entry, value, _ in current
                if value is not None
            ]
            return 412, self._message(rows)
        writes = [
            (e['table'], e.get('part', ''), e['key'], e.get('value', ''))
            for e in puts
        ]
        writes += [
            (e['table'], e.get('part', ''), e['key'], None) for e in removals
        ]
        self._apply(writes)
        return 200, self._message([])

    def _read(self, query):
        table, part = query['table'], query.get('part', '')
        first, last = query.get('from', ''), query.get('to')
        limit = min(int(query.get('limit', MAX_ROWS)), MAX_ROWS)
        keys = sorted(
            key
            for key in self._rows.get((table, part), {})
            if key >= first and (last is None or key < last)
        )
        rows = [self._encode(table, part, key) for key in keys[:limit]]
        return self._message(rows, len(keys) > limit)

    def _list_parts(self, query):
        parts = sorted(
            part
            for (table, part), rows in self._rows.items()
            if table == query['table']
            and rows
            and part > query.get('after', '')
        )
        return {'parts': parts[:1000], 'morePages': len(parts) > 1000}

    async def _watch(self, query):
        table, after = query['table'], int(query['after'])
        until = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while True:
            changes = sorted(
                (ver, part, key, is_removed)
                for (part, key), (ver, is_removed) in self._latest.get(
                    table, {}
                ).items()
                if ver > after
            )
            left = until - time.monotonic()
            if changes or left <= 0:
                break
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue
        rows = [
            {
                'table': table,
                'part': part,
                'key': key,
                'ver': ver,
                'removed': True,
            }
            if is_removed
            else self._encode(table, part, key)
            for ver, part, key, is_removed in changes
        ]
        return self._message(rows)

    def _serve_object(self, request, path):
        operation, _, name = path[1:].partition('/')
        name = unquote(name)
        status, body = 200, b''
        if operation == 'blob-put':
            if 'if-none-match' in request.headers and name in self._objects:
                status = 412
            else:
                self._objects[name] = request.body
        elif operation == 'blob-get':
            status = 200 if name in self._objects else 404
            body = self._objects.get(name, b'')
        elif operation == 'blob-drop':
            self._objects.pop(name, None)
        else:
            status = 404
        request.writer.write(format_response(status, {}, body))
        return True

    def _encode(self, table, part, key):
        value, ver = self._find(table, part, key)
        return {
            'table': table,
            'part': part,
            'key': key,
            'value': value,
            'ver': ver,
        }

    def _message(self, rows, has_more=False):
        return {
            'ver': self._ver,
            'nowMs': int(time.monotonic() * 1000),
            'rows': rows,
            'morePages': has_more,
        }
