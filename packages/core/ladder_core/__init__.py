"""Values, errors, settings, timers and the event timeline shared by all."""
