"""The client library of a proxy: routing tables, leases, endpoint choice, acks and reports to the pilots."""

from cedarshift.agent.client import Agent
from cedarshift.agent.tables import NoPick, Pick, Tables

__all__ = ["Agent", "NoPick", "Pick", "Tables"]
