"""What a plain proxy needs: tables and leases held, picks, acks of marks, sums, and redials. Counts, never decides."""

from cedarshift.agent.client import Agent
from cedarshift.agent.tables import NoPick, Pick, Tables

__all__ = ["Agent", "NoPick", "Pick", "Tables"]
