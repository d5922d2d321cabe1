"""Overload control at a pilot: collects load, exchanges reports with other pilots, sets policies."""
