"""Metrics of HTTP serving."""

from prometheus_client import Gauge

REQUESTS = Gauge('ladder_requests_in_progress', 'Requests in progress.')
DRAINING = Gauge('ladder_node_draining', 'Whether the node drains.')
