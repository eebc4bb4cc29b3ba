"""Metrics of HTTP serving."""

from prometheus_client import Counter, Gauge

REQUESTS = Gauge('ladder_requests_in_progress', 'Requests in progress.')
DRAINING = Gauge('ladder_node_draining', 'Whether the node drains.')
REFUSED = Counter(
    'ladder_drain_refused_total',
    'Requests refused since they might not end before the node stops',
)
