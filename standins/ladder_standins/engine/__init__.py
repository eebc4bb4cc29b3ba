"""Stand-in for a model engine."""

from ladder_standins.engine.app import make_engine
from ladder_standins.engine.settings import EngineSettings

__all__ = ('EngineSettings', 'make_engine')
