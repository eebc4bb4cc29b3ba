"""Values, errors, settings, timers and event timelines for all packages."""
