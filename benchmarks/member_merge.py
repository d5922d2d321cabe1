"""Cost of merging a full state into the member table of a large fleet.

    python -m benchmarks.member_merge [MEMBERS]

Prints the time per record, for records that are new and for the same ones received again, and the number of
edges that remain after a new incarnation of every member.
"""

from __future__ import annotations

import random
import sys
import time

from cedarshift.judge.roll import Edge, MemberTable, Word

DEFAULT_MEMBERS = 1_000
ROUNDS = 5
PERIOD_US = 1_000_000
SEED = 1

EdgeRecord = tuple[str, str, Edge]


def draw_edges(table: MemberTable) -> list[EdgeRecord]:
    """Returns the edges of all observers, as a full state exchange brings them, in random order."""
    edges = [
        (observer, subject, Edge(1, number, 0, 0, number % 20 > 0, 1, 0))
        for observer in table.names
        for number, subject in enumerate(table.rings.subjects(observer, lambda name: True), 1)
    ]
    random.Random(SEED).shuffle(edges)
    return edges


def merge_all(table: MemberTable, edges: list[EdgeRecord]) -> float:
    """Merges a word of each member and all edges; returns the seconds per record."""
    begin = time.perf_counter()
    for name in table.names:
        table.merge_word(name, Word(1, False, 0))
    for observer, subject, edge in edges:
        table.merge_edge(0, observer, subject, edge)
    return (time.perf_counter() - begin) / (len(table.names) + len(edges))


def main() -> int:
    members = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_MEMBERS
    names = [f"p{number}" for number in range(members)]
    edges = draw_edges(MemberTable(names[0], names, PERIOD_US))
    first, again = [], []
    for _ in range(ROUNDS):
        table = MemberTable(names[0], names, PERIOD_US)
        first.append(merge_all(table, edges))
        again.append(merge_all(table, edges))
    for name in names:
        table.merge_word(name, Word(1, False, 1))
    table._drop_outdated_edges()
    remaining = sum(len(found) for found in table.edges.values())
    print(
        f"{members} members, {len(edges)} edges: {min(first) * 1e6:.2f} us a new record, "
        f"{min(again) * 1e6:.2f} us a known one; {remaining} edges after a new incarnation of all"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
