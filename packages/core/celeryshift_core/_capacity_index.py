"""An index of free room: finds workers with room in every resource.

The workers of an upstream are the leaves of a binary tree. Each node holds,
for each resource, the most that any worker below it has free. A search goes
down only where every resource may suffice, and ends after a bounded number
of nodes however many workers there are.
"""

import operator

MAX_NODES = 160
RACK_WORKERS = 8

ResourceVector = tuple[int, int, int, int]

NO_CAPACITY: ResourceVector = (-1, -1, -1, -1)


class CapacityIndex:
    """Index the workers of one upstream by their free room."""

    def __init__(self) -> None:
        self._leaves = 1
        self._most: list[ResourceVector] = [NO_CAPACITY] * 2
        self._names: list[str] = []
        self._leaf_by_name: dict[str, int] = {}
        self._spare: list[int] = []
        self._names_by_rack: dict[str, list[str]] = {}
        self._racks: list[str] = []
        self.examined = 0
        self.gave_up = False

    def add(self, name: str, rack: str) -> None:
        """Take in a worker, as yet without room."""
        if self._spare:
            leaf = self._spare.pop()
            self._names[leaf] = name
        else:
            leaf = len(self._names)
            self._names.append(name)
            if leaf >= self._leaves:
                self._grow()
        self._leaf_by_name[name] = leaf
        names = self._names_by_rack.get(rack)
        if names is None:
            names = self._names_by_rack[rack] = []
            self._racks.append(rack)
        names.append(name)

    def remove(self, name: str, rack: str) -> None:
        """Forget a worker; its leaf is left to the next one."""
        self.set(name, NO_CAPACITY)
        self._spare.append(self._leaf_by_name.pop(name))
        names = self._names_by_rack[rack]
        names.remove(name)
        if not names:
            del self._names_by_rack[rack]
            self._racks.remove(rack)

    def set(self, name: str, room: ResourceVector) -> bool:
        """Note the free room of a worker; tell whether any of it grew."""
        most = self._most
        node = self._leaves + self._leaf_by_name[name]
        before = most[node]
        if before == room:
            return False
        most[node] = room
        while node > 1:
            other = most[node ^ 1]
            room = (
                room[0] if room[0] > other[0] else other[0],
                room[1] if room[1] > other[1] else other[1],
                room[2] if room[2] > other[2] else other[2],
                room[3] if room[3] > other[3] else other[3],
            )
            node >>= 1
            if most[node] == room:
                break
            most[node] = room
        leaf_room = most[self._leaves + self._leaf_by_name[name]]
        return any(map(operator.gt, leaf_room, before))

    def search(
        self, size: ResourceVector, count: int, widest: bool
    ) -> list[str]:
        """List some workers with room, the first ones or the emptiest.

        Notes whether it gave up before it had seen every worker.
        """
        slots, cpu, memory, accelerators = size
        most = self._most
        found: list[str] = []
        stack = [1]
        left = MAX_NODES
        while stack and left and len(found) < count:
            left -= 1
            node = stack.pop()
            room = most[node]
            if (
                room[0] < slots
                or room[1] < cpu
                or room[2] < memory
                or room[3] < accelerators
            ):
                continue
            if node >= self._leaves:
                found.append(self._names[node - self._leaves])
                continue
            first = 2 * node
            if widest and most[first + 1][0] > most[first][0]:
                stack += (first, first + 1)
            else:
                stack += (first + 1, first)
        self.examined += MAX_NODES - left
        self.gave_up = bool(stack)
        return found

    def by_rack(
        self, size: ResourceVector, first: int, racks: int
    ) -> list[str]:
        """List workers with room, from a number of racks one after another.

        A large rack is looked at in part, another part for another first.
        """
        found: list[str] = []
        count = len(self._racks)
        for step in range(min(racks, count)):
            names = self._names_by_rack[self._racks[(first + step) % count]]
            for place in range(min(RACK_WORKERS, len(names))):
                name = names[(first // count + place) % len(names)]
                room = self._most[self._leaves + self._leaf_by_name[name]]
                self.examined += 1
                if not any(map(operator.gt, size, room)):
                    found.append(name)
        return found

    def _grow(self) -> None:
        """Double the leaves, which is constant work for each one added."""
        before = self._most[self._leaves :]
        self._leaves *= 2
        most = [NO_CAPACITY] * (2 * self._leaves)
        most[self._leaves : self._leaves + len(before)] = before
        for node in range(self._leaves - 1, 0, -1):
            pair = zip(most[2 * node], most[2 * node + 1], strict=True)
            slots, cpu, memory, accelerators = (max(two) for two in pair)
            most[node] = slots, cpu, memory, accelerators
        self._most = most
