"""The priority queue of waiting work."""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from itertools import count
from typing import TYPE_CHECKING

from msgspec import Struct

from lacewinghold.placement.index import cores_level, level_of, memory_level

if TYPE_CHECKING:
    from lacewinghold.ids import JobId, TaskId
    from lacewinghold.placement.index import CapacityIndex
    from lacewinghold.placement.ranking import Ranking
    from lacewinghold.placement.work import Work
    from lacewinghold.schema.generated.jobs import JobKind, Priority

Rank = tuple[int, float]
RANK_TOLERANCE_S = 1.0  # Smaller delays of the latest start don't move queued work.


class Shape(Struct, frozen=True):
    """A class of work with the same kind, priority and quantised size."""

    kind: JobKind
    priority: Priority
    tasks: int
    cores: int
    memory: int
    accelerators: int


class Blocked(Struct):
    """A shape whose highest-ranked work does not fit, and when to try it again.

    :param required_freed_cores: Value of the index's total of freed cores from which
        the work may fit.
    :param retry_at: When to try again in any case.
    """

    work: Work
    required_freed_cores: float
    retry_at: float


def shape_of(work: Work) -> Shape:
    """Returns the shape of a unit of work."""
    return Shape(
        work.kind,
        work.priority,
        len(work.tasks),
        cores_level(work.need),
        memory_level(work.need),
        level_of(work.need.accelerators),
    )


class WorkQueue:
    """Work in order of rank, one heap for each shape.

    If the head of a shape does not fit, the whole shape is blocked, so that a round
    does not try thousands of equal tasks in vain.
    """

    def __init__(self, ranking: Ranking, index: CapacityIndex) -> None:
        self.ranking = ranking
        self.index = index
        self.waiting: dict[TaskId | JobId, Work] = {}
        self.heaps: dict[Shape, list[tuple[Rank, int, Work]]] = {}
        self.shape_heads: list[tuple[Rank, int, Shape]] = []
        self.delayed: list[tuple[float, int, Work]] = []
        self.blocked: dict[Shape, Blocked] = {}
        self.sequence = count()

    def __len__(self) -> int:
        return len(self.waiting)

    def add(self, work: Work, now: float) -> None:
        """Queues work, from ``not_before`` on."""
        self.waiting[work.id] = work
        if work.not_before > now:
            heappush(self.delayed, (work.not_before, next(self.sequence), work))
            return
        self.push(work)

    def push(self, work: Work) -> None:
        """Pushes work onto the heap of its shape."""
        shape = shape_of(work)
        rank = self.ranking.rank(work)
        heap = self.heaps.setdefault(shape, [])
        entry = (rank, next(self.sequence), work)
        heappush(heap, entry)
        if heap[0] is entry and shape not in self.blocked:
            heappush(self.shape_heads, (rank, next(self.sequence), shape))

    def remove(self, ident: TaskId | JobId) -> Work | None:
        """Removes work; its heap entry is discarded when it becomes the head."""
        return self.waiting.pop(ident, None)

    def is_waiting(self, work: Work) -> bool:
        """Returns whether the work of a heap entry is still queued."""
        return self.waiting.get(work.id) is work

    def next_due(self) -> float:
        """Returns when the next delayed work is due, infinity if there is none."""
        return self.delayed[0][0] if self.delayed else float("inf")

    def release_delayed(self, now: float) -> None:
        """Moves delayed work that is due to the heap of its shape."""
        while self.delayed and self.delayed[0][0] <= now:
            _, _, work = heappop(self.delayed)
            if self.is_waiting(work):
                self.push(work)

    def unblock(self, now: float) -> None:
        """Unblocks the shapes whose head may fit now."""
        for shape, blocked in list(self.blocked.items()):
            if not self.may_fit_now(blocked, now):
                continue
            del self.blocked[shape]
            self.push_head(shape)

    def may_fit_now(self, blocked: Blocked, now: float) -> bool:
        """Returns whether another attempt for a blocked shape may succeed."""
        if not self.is_waiting(blocked.work) or now >= blocked.retry_at:
            return True
        if self.index.freed_cores < blocked.required_freed_cores:
            return False
        return self.index.candidates(blocked.work.need) != 0

    def unblock_all(self) -> None:
        """Unblocks all shapes."""
        for shape in list(self.blocked):
            del self.blocked[shape]
            self.push_head(shape)

    def push_head(self, shape: Shape) -> None:
        """Makes the head of a shape's heap a candidate for the next placement."""
        heap = self.heaps.get(shape)
        while heap and not self.is_waiting(heap[0][2]):
            heappop(heap)
        if not heap:
            self.heaps.pop(shape, None)
            return
        heappush(self.shape_heads, (heap[0][0], next(self.sequence), shape))

    def peek_best(self, now: float) -> tuple[Shape, Work] | None:
        """Returns the highest-ranked work whose shape is not blocked.

        The work stays queued. Outdated entries of the heaps are removed.
        """
        while self.shape_heads:
            rank, _, shape = self.shape_heads[0]
            heap = self.heaps.get(shape)
            if shape in self.blocked or not heap:
                heappop(self.shape_heads)
                continue
            if not self.is_waiting(heap[0][2]) or heap[0][0] != rank:
                heappop(self.shape_heads)
                if not self.is_waiting(heap[0][2]):
                    self.push_head(shape)
                continue
            work = heap[0][2]
            if self.refresh_rank(heap, work, now):
                heappop(self.shape_heads)
                self.push_head(shape)
                continue
            return shape, work
        return None

    def refresh_rank(
        self, heap: list[tuple[Rank, int, Work]], work: Work, now: float
    ) -> bool:
        """Moves the head of a heap if its latest start is later than when queued.

        Work that can no longer meet its deadline is marked as late first.

        :returns: Whether it was moved.
        """
        if not work.late and self.ranking.is_late(work, now):
            work.late = True
        rank = self.ranking.rank(work)
        if rank[1] <= heap[0][0][1] + RANK_TOLERANCE_S:
            return False
        heappop(heap)
        heappush(heap, (rank, next(self.sequence), work))
        return True

    def pop_head(self, shape: Shape) -> None:
        """Removes the head of a shape after its placement."""
        heappop(self.shape_heads)
        _, _, work = heappop(self.heaps[shape])
        del self.waiting[work.id]
        self.push_head(shape)

    def postpone(self, shape: Shape, until: float) -> None:
        """Delays the head of a shape, so that the next work of the shape is tried."""
        heappop(self.shape_heads)
        _, _, work = heappop(self.heaps[shape])
        heappush(self.delayed, (until, next(self.sequence), work))
        self.push_head(shape)

    def block(self, shape: Shape, blocked: Blocked) -> None:
        """Blocks a shape whose head does not fit."""
        heappop(self.shape_heads)
        self.blocked[shape] = blocked

    def rebuild(self) -> None:
        """Rebuilds all heaps after a change of the weights."""
        self.heaps.clear()
        self.shape_heads.clear()
        self.blocked.clear()
        delayed = {work.id for _, _, work in self.delayed}
        for work in self.waiting.values():
            if work.id in delayed:
                continue
            entry = (self.ranking.rank(work), next(self.sequence), work)
            self.heaps.setdefault(shape_of(work), []).append(entry)
        for shape, heap in self.heaps.items():
            heapify(heap)
            self.push_head(shape)
