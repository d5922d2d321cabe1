"""The store: keeps the tables durably and assigns slices to pilots."""
