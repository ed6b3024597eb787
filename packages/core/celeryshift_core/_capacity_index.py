"""Index of free capacity: finds workers with enough of every resource.

The workers of an upstream are the leaves of a binary tree. Each node holds,
for each resource, the largest free amount of any worker below it. A search
descends only where every resource may suffice, and ends after a bounded
number of nodes, however many workers there are.
"""

import operator

MAX_NODES_PER_SEARCH = 160
MAX_EXAMINED_PER_RACK = 8

# Slots, processor time in mCPU, memory in MB, and accelerators.
ResourceVector = tuple[int, int, int, int]

# Less than any size needs, since a size may need 0 of a resource.
NO_CAPACITY: ResourceVector = (-1, -1, -1, -1)


class CapacityIndex:
    """Indexes the workers of one upstream by free capacity."""

    def __init__(self) -> None:
        self._leaf_count = 1
        self._max_free: list[ResourceVector] = [NO_CAPACITY] * 2
        self._names: list[str] = []
        self._leaf_by_name: dict[str, int] = {}
        self._free_leaves: list[int] = []
        self._names_by_rack: dict[str, list[str]] = {}
        self._racks: list[str] = []
        self.examined = 0
        self.gave_up = False

    def add(self, name: str, rack: str) -> None:
        """Add a worker, initially without free capacity."""
        if self._free_leaves:
            leaf = self._free_leaves.pop()
            self._names[leaf] = name
        else:
            leaf = len(self._names)
            self._names.append(name)
            if leaf >= self._leaf_count:
                self._grow()
        self._leaf_by_name[name] = leaf
        names = self._names_by_rack.get(rack)
        if names is None:
            names = self._names_by_rack[rack] = []
            self._racks.append(rack)
        names.append(name)

    def remove(self, name: str, rack: str) -> None:
        """Remove a worker; its leaf is reused by a later one."""
        self.set(name, NO_CAPACITY)
        self._free_leaves.append(self._leaf_by_name.pop(name))
        names = self._names_by_rack[rack]
        names.remove(name)
        if not names:
            del self._names_by_rack[rack]
            self._racks.remove(rack)

    def set(self, name: str, free: ResourceVector) -> bool:
        """Set the free capacity; return whether any resource has more."""
        max_free = self._max_free
        node = self._leaf_count + self._leaf_by_name[name]
        before = max_free[node]
        if before == free:
            return False
        max_free[node] = free
        while node > 1:
            other = max_free[node ^ 1]
            free = (
                free[0] if free[0] > other[0] else other[0],
                free[1] if free[1] > other[1] else other[1],
                free[2] if free[2] > other[2] else other[2],
                free[3] if free[3] > other[3] else other[3],
            )
            node >>= 1
            if max_free[node] == free:
                break
            max_free[node] = free
        leaf_free = max_free[self._leaf_count + self._leaf_by_name[name]]
        return any(map(operator.gt, leaf_free, before))

    def search(
        self, size: ResourceVector, count: int, prefer_emptiest: bool
    ) -> list[str]:
        """Return at most `count` workers that fit.

        With `prefer_emptiest`, the child with more free slots is searched
        first at each node, otherwise the left child.

        Sets gave_up if the search ended before it had covered every worker,
        be it at the node limit or because it had found enough.
        """
        slots, cpu, memory, accelerators = size
        max_free = self._max_free
        found: list[str] = []
        stack = [1]
        remaining_nodes = MAX_NODES_PER_SEARCH
        while stack and remaining_nodes and len(found) < count:
            remaining_nodes -= 1
            node = stack.pop()
            free = max_free[node]
            if (
                free[0] < slots
                or free[1] < cpu
                or free[2] < memory
                or free[3] < accelerators
            ):
                continue
            if node >= self._leaf_count:
                found.append(self._names[node - self._leaf_count])
                continue
            first = 2 * node
            if prefer_emptiest and max_free[first + 1][0] > max_free[first][0]:
                stack += (first, first + 1)
            else:
                stack += (first + 1, first)
        self.examined += MAX_NODES_PER_SEARCH - remaining_nodes
        self.gave_up = bool(stack)
        return found

    def by_rack(
        self, size: ResourceVector, start: int, max_racks: int
    ) -> list[str]:
        """Return workers that fit, from several racks in turn.

        The first rack is number `start` modulo the number of racks. Of a
        large rack only some workers are examined; `start` decides which.
        """
        found: list[str] = []
        count = len(self._racks)
        for step in range(min(max_racks, count)):
            names = self._names_by_rack[self._racks[(start + step) % count]]
            for offset in range(min(MAX_EXAMINED_PER_RACK, len(names))):
                name = names[(start // count + offset) % len(names)]
                free = self._max_free[
                    self._leaf_count + self._leaf_by_name[name]
                ]
                self.examined += 1
                if not any(map(operator.gt, size, free)):
                    found.append(name)
        return found

    def _grow(self) -> None:
        """Double the leaves; this is amortized constant time per add."""
        before = self._max_free[self._leaf_count :]
        self._leaf_count *= 2
        max_free = [NO_CAPACITY] * (2 * self._leaf_count)
        max_free[self._leaf_count : self._leaf_count + len(before)] = before
        for node in range(self._leaf_count - 1, 0, -1):
            pair = zip(max_free[2 * node], max_free[2 * node + 1], strict=True)
            slots, cpu, memory, accelerators = (max(two) for two in pair)
            max_free[node] = slots, cpu, memory, accelerators
        self._max_free = max_free
