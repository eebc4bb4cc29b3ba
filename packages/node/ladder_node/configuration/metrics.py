"""Metrics of the configuration cache."""

from prometheus_client import Gauge

REVISION = Gauge(
    'ladder_configuration_revision',
    "Revision of the operators' lists in force on this node.",
)
