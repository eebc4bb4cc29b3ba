"""Metrics of the messages and connections between nodes."""

from prometheus_client import Counter, Gauge

MESSAGES = Counter(
    'ladder_peer_messages',
    'Messages between nodes.',
    ('direction',),
)
BYTES = Counter(
    'ladder_peer_bytes',
    'Bytes of messages between nodes.',
    ('direction',),
)
SILENT_CONNECTIONS = Counter(
    'ladder_peer_silences',
    'Connections to peers replaced because no heartbeat came.',
)
CONNECTIONS = Gauge('ladder_peer_connections', 'Connections to peers.')
