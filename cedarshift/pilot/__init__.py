"""The pilot daemon: runs the decision module and publishes its decisions to the store and the proxies."""

from cedarshift.pilot.service import PilotService

__all__ = ["PilotService"]
