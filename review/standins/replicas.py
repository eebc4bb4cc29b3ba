"""Stand-ins for replicas: of a plain service, and of model engines."""

import asyncio
import json
import time

from http11 import Server, format_head, format_response

BEAT_SECONDS = 1.2
LOAD_SECONDS = 0.9
STRAY = b'stray bytes of nobody'


class Run:
    """One run of a request at a replica, as the replica saw it."""

    def __init__(self, replica, request_id, first, version):
        self.replica = replica
        self.request_id = request_id
        self.first = first
        self.version = version
        self.events = []
        self.began_at = time.monotonic()
        self.ended_at = None
        self.is_complete = False

    def __str__(self):
        end = 'complete' if self.is_complete else 'not complete'
        return (
            f'{self.request_id} at {self.replica}: from event {self.first},'
            f' {len(self.events)} events, {end}'
        )


class Replica:
    """
    A replica that registers itself, beats, and answers.

    `work(request, replica)` is a coroutine that writes the answer to a request
    of a requester; it returns whether the connection is kept.
    """

    def __init__(self, name, service, zone, work, **entry):
        self.name = name
        self.service = service
        self.zone = zone
        self.work = work
        self.runs = []
        self.received = 0
        self.is_up = False
        self.server = Server(self._handle)
        self.entry = {
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'coldLeftMs': 0,
            **entry,
        }
        self._seq = 0
        self._beating = None
        self.store = None
        self.record = None
        self._born = int(time.time() * 1000)

    async def start(self, store, record):
        """Listen, and register in the store."""
        self.store = store
        self.record = record
        await self.server.start()
        self.is_up = True
        self._beating = asyncio.ensure_future(self._beat())

    async def _beat(self):
        while True:
            self.publish()
            await asyncio.sleep(BEAT_SECONDS)

    def publish(self):
        """Write the entry in the store."""
        self._seq += 1
        self.store.put(
            'servers',
            self.name,
            {
                'service': self.service,
                'address': self.server.address,
                'zone': self.zone,
                **self.entry,
                'seq': self._seq,
                'born': self._born,
            },
        )

    def crash(self):
        """End at once; the entry lapses after three beats of silence."""
        self.is_up = False
        self._beating.cancel()
        self.server.crash()
        self.record.add(f'{self.name} is lost for good')
        asyncio.get_running_loop().call_later(
            3 * BEAT_SECONDS, self.store.remove, 'servers', self.name
        )

    def stop_beating(self):
        """Write no more to the store."""
        self._beating.cancel()

    async def start_again(self):
        """Start as another process, under the same name and address."""
        port = int(self.server.address.rpartition(':')[2])
        await self.server.start(port)
        self._born = int(time.time() * 1000)
        self._seq = 0
        self.is_up = True
        self._beating = asyncio.ensure_future(self._beat())

    def end(self):
        """End the runs in progress."""
        self.is_up = False

    def make_headers(self, request):
        """Return the header fields of each answer."""
        return {'Attempt-Id': request.headers.get('attempt-id', '')}

    async def _handle(self, request):
        expected = request.headers.get('expect-replica')
        if expected not in {None, self.name}:
            request.writer.write(
                format_response(421, {'Replica-Id': self.name})
            )
            return True
        if request.target == '/health':
            request.writer.write(
                format_response(200, {'Replica-Id': self.name})
            )
            return True
        self.received += 1
        return await self.work(request, self)


class Engine(Replica):
    """
    A replica of model engines.

    `find_length(request_id)` returns the number of events of a text, and
    `event_seconds` is the time for each of them.
    """

    def __init__(
        self, name, service, zone, model, find_length, event_seconds, **entry
    ):
        super().__init__(name, service, zone, self._generate, **entry)
        self.model = model
        self.weights = 1
        self.orders = 0
        self.is_busy = False
        self._loading = None
        self.running = 0
        self.find_length = find_length
        self.event_seconds = event_seconds
        self.entry['stage'] = 'both'
        self._list_models()

    def _list_models(self):
        self.entry['models'] = [
            {'name': self.model, 'version': self.weights, 'adapters': []}
        ]

    async def _handle(self, request):
        if request.target == '/kumquatladder/report':
            return self._report(request)
        if request.target == '/kumquatladder/order':
            return self._order(request)
        return await super()._handle(request)

    def _report(self, request):
        message = {
            'stage': 'both',
            'models': self.entry['models'],
            'busy': self.is_busy,
            'seq': self.orders,
            'queued': 0,
            'running': self.running,
            'kvUsed': 0,
            'kvTotal': 100000,
            'handles': 0,
        }
        request.writer.write(
            format_response(200, {}, json.dumps(message).encode())
        )
        return True

    def _order(self, request):
        order = json.loads(request.body)
        status = 202
        if request.headers.get('expect-replica') not in {None, self.name}:
            status = 421
        elif not order.get('holder') or 'fence' not in order:
            status = 400
        elif (
            self.is_busy or order.get('expectedRev', self.orders) != self.orders
        ):
            status = 409
        elif order['version'] <= self.weights:
            status = 200
        self.record.add(
            f'{self.name} gets an order of {order.get("holder")}, epoch'
            f' {order.get("fence")}: version {order.get("version")},'
            f' {order.get("mode")}: {status}'
        )
        if status == 202:
            self.orders += 1
            self.is_busy = True
            self._loading = asyncio.ensure_future(
                self._load(order['version'], order['mode'])
            )
        request.writer.write(format_response(status))
        return True

    async def _load(self, version, mode):
        while mode == 'block' and self.running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(LOAD_SECONDS)
        self.weights = version
        self.is_busy = False
        self._list_models()
        if self.is_up:
            self.record.add(f'{self.name} has version {version}')
            self.publish()

    async def _generate(self, request, _):
        request_id = request.headers['attempt-id']
        headers = self.make_headers(request)
        if self.is_busy or self.running >= self.entry['slots']:
            request.writer.write(
                format_response(503, {**headers, 'Not-Executed': '1'})
            )
            return True
        first = int(request.headers.get('last-event-id', 0)) + 1
        run = Run(self.name, request_id, first, self.weights)
        self.runs.append(run)
        self.record.add(
            f'{self.name} begins {request_id} after event {first - 1},'
            f' version {self.weights}'
        )
        self.running += 1
        request.writer.write(
            format_head(
                200,
                {
                    **headers,
                    'Content-Type': 'text/event-stream',
                    'Weight-Versions': str(self.weights),
                    'Server-Stamp': f'stamp-{request_id}-{self.name}',
                    'Transfer-Encoding': 'chunked',
                },
            )
        )
        try:
            await self._stream(request, run)
        finally:
            self.running -= 1
            run.ended_at = time.monotonic()
            self.record.add(f'run ends: {run}')
        return run.is_complete

    async def _stream(self, request, run):
        for number in range(run.first, self.find_length(run.request_id) + 1):
            await asyncio.sleep(self.event_seconds)
            if request.has_left or not self.is_up:
                return
            text = f'{run.request_id}.{number}'
            run.events.append(text)
            event = f'id: {number}\ndata: {text}\n\n'.encode()
            request.writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await request.writer.drain()
        request.writer.write(b'0\r\n\r\n')
        run.is_complete = True


def make_scorer(name, service, zone, seconds=0.05, **entry):
    """Return a replica that answers each request after some seconds."""

    async def work(request, replica):
        run = Run(name, request.headers.get('attempt-id', ''), 1, 0)
        replica.runs.append(run)
        await asyncio.sleep(seconds)
        run.ended_at = time.monotonic()
        run.is_complete = True
        headers = replica.make_headers(request)
        headers['Server-Stamp'] = make_stamp(run.request_id)
        request.writer.write(
            format_response(
                200, headers, b'bytes of ' + run.request_id.encode()
            )
        )
        return True

    return Replica(name, service, zone, work, **entry)


def make_stamp(request_id):
    """Return the proof of a replica's answer to a request."""
    return f'3e1b.{request_id}'


class StrayBytes:
    """
    Decides after which answers of a faulty replica stray bytes follow.

    They are sent on the kept connection, late, where the next answer is due.
    They read like an answer, but name no request and bear no proof.
    """

    def __init__(self, every):
        self.answers = 0
        self.sent = 0
        self._every = every
        self._until = 0.0
        # Connections whose last answer is followed by stray bytes, later.
        self._owed = set()

    def begin(self, seconds):
        """Be faulty for some seconds from now."""
        self._until = time.monotonic() + seconds

    def count_answer(self, request):
        """Count an answer that was given over a connection that is kept."""
        if time.monotonic() > self._until:
            self._owed.clear()
            return
        self.answers += 1
        if self.answers % self._every == 0:
            self._owed.add(request.writer)

    async def send_owed(self, request, replica):
        """Send the bytes that follow the answer before, if any do."""
        if request.writer not in self._owed:
            return
        if time.monotonic() > self._until:
            return
        self._owed.discard(request.writer)
        self.sent += 1
        replica.record.add(
            f'{replica.name} sends stray bytes where the answer to'
            f' {request.headers["attempt-id"]} is due'
        )
        request.writer.write(format_response(200, {}, STRAY))
        await request.writer.drain()


class FaultyEngine(Engine):
    """An engine that sends stray bytes after some of its answers."""

    def __init__(self, stray, *settings):
        super().__init__(*settings)
        self._stray = stray

    async def _generate(self, request, replica):
        await self._stray.send_owed(request, replica)
        is_kept = await super()._generate(request, replica)
        if is_kept:
            self._stray.count_answer(request)
        return is_kept


def make_faulty_scorer(stray, name, service, zone, seconds=0.05, **entry):
    """Return a replica that sends stray bytes after some of its answers."""
    sound = make_scorer(name, service, zone, seconds, **entry)
    answer = sound.work

    async def work(request, replica):
        await stray.send_owed(request, replica)
        is_kept = await answer(request, replica)
        stray.count_answer(request)
        return is_kept

    sound.work = work
    return sound
