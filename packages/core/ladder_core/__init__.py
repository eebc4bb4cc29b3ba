"""Values, errors, settings, timers and the event time line shared by all."""
