"""Gossip membership among the pilots of one deployment."""
