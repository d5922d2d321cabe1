"""Keeps the tables durably, and carries out who is in charge of which slice."""
