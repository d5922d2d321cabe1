"""The daemon: hosts one `brain.Pilot`, turns what happens into calls and its decisions into frames."""

from cedarshift.pilot.service import PilotService

__all__ = ["PilotService"]
