"""Stand-ins for model replicas and for replicas of plain services."""

import asyncio
import json
import time

from http11 import Response, Server

_EVENT_SECONDS = 0.03


class Replica:
    """
    One process that serves requests of one service.

    `runs` lists (time, id, first event) of all runs of items, `ran` (time, id)
    of all other requests that it ran, `orders` all orders.
    """

    def __init__(self, name, service, slots=8, events=10, piece='text'):
        self.name = name
        self.service = service
        self.slots = slots
        self.events = events
        self.piece = piece
        self.born = int(time.time() * 1000)
        self.versions = {}
        self.runs = []
        self.ran = []
        self.orders = []
        self.fields = []
        self.finished = []
        self.running = 0
        self.answer = b'done'
        self.work_seconds = 0.03
        self.extra = {}
        self._server = Server(self.handle)
        self.address = ''

    async def start(self, host='127.0.0.1', port=0):
        """Listen at a free port."""
        self.address = f'{host}:{await self._server.start(host, port)}'

    async def close(self):
        """Stop."""
        await self._server.close()

    def make_entry(self, state='ready'):
        """Return the row of the replica."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'leith',
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'coldLeftMs': 0,
            'models': self._list_models(),
            'seq': 0,
            'born': self.born,
        }

    def _list_models(self):
        return [
            {'name': name, 'version': version, 'adapters': []}
            for name, version in self.versions.items()
        ]

    async def handle(self, request):
        """Answer one request."""
        path = request.path
        if path == '/kumquatladder/report':
            message = {
                'stage': 'both',
                'models': self._list_models(),
                'busy': False,
                'seq': len(self.orders),
                'queued': 0,
                'running': self.running,
                'kvUsed': 0,
                'kvTotal': 75774,
                'handles': 0,
            }
            return Response(
                200,
                {'Content-Type': 'application/json'},
                json.dumps(message).encode(),
            )
        if path == '/kumquatladder/order':
            order = json.loads(request.body)
            self.orders.append((time.monotonic(), order))
            self.versions[order['model']] = order['version']
            return Response(202)
        expected = request.headers.get('expect-replica')
        if expected not in (None, self.name):
            return Response(421, {'Replica-Id': self.name})
        if path == '/health':
            return Response(200, {'Replica-Id': self.name})
        self.fields.append(request.headers)
        if self.running >= self.slots:
            return Response(503, {**self._head(request), 'Not-Executed': '1'})
        if 'token-counts' in request.headers:
            await self._stream(request)
            return None
        return await self._run(request)

    def _head(self, request):
        return {
            'Attempt-Id': request.headers.get('attempt-id', ''),
            **self.extra,
        }

    async def _run(self, request):
        name = request.headers.get('attempt-id', '')
        self.ran.append((time.monotonic(), name))
        self.running += 1
        try:
            await asyncio.sleep(self.work_seconds)
        finally:
            self.running -= 1
        head = {**self._head(request), 'Server-Stamp': f'stamp-{name}'}
        return Response(200, head, self.answer)

    async def _stream(self, request):
        name = request.headers.get('attempt-id', '')
        first = int(request.headers.get('last-event-id', 0)) + 1
        self.runs.append((time.monotonic(), name, first))
        model = request.headers.get('model', '')
        head = {
            **self._head(request),
            'Server-Stamp': f'stamp-{name}',
            'Weight-Versions': str(self.versions.get(model, 1)),
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        writer = request.writer
        lines = ['HTTP/1.1 200 OK']
        lines += [f'{field}: {text}' for field, text in head.items()]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        self.running += 1
        try:
            for number in range(first, self.events + 1):
                await asyncio.sleep(_EVENT_SECONDS)
                if writer.is_closing():
                    return
                event = f'id: {number}\ndata: {self.piece}\n\n'.encode()
                writer.write(b'%x\r\n%s\r\n' % (len(event), event))
                await writer.drain()
            writer.write(b'0\r\n\r\n')
            await writer.drain()
            self.finished.append(name)
        finally:
            self.running -= 1
