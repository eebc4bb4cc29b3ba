"""Metrics of HTTP serving."""

from prometheus_client import Counter, Gauge

REQUESTS = Gauge('ladder_requests_in_progress', 'Requests in progress.')
DRAINING = Gauge('ladder_node_draining', 'Whether the node drains.')
HELD_BYTES = Gauge(
    'ladder_client_bytes_held',
    'Bytes that are held for the requests of clients, by kind',
    ('kind',),
)
REJECTIONS = Counter(
    'ladder_client_rejections_total',
    'Requests of clients rejected and connections closed, by reason',
    ('reason',),
)
CLIENT_CONNECTIONS = Gauge(
    'ladder_client_connections', 'Connections of clients that are open.'
)
REFUSED = Counter(
    'ladder_drain_refused_total',
    'Requests refused since they might not end before the node stops',
)
