"""cedarshift: a pilot that publishes routing tables to plain proxies."""
