"""Decisions, each behind an abstract base class beside its plain way."""
