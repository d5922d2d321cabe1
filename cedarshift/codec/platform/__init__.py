"""Wire formats of the platform: frames, reports, orders, responses, events, endpoint lists and settings."""
