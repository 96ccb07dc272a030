"""The events that log lines report."""

from __future__ import annotations

from enum import StrEnum


class Event(StrEnum):
    """The event of a log line; docs/OPERATIONS.md describes each of them."""

    # Processes
    STARTED = "started"
    LISTENING = "listening"
    SETTINGS_IN_FORCE = "settings in force"
    SETTINGS_REFUSED = "settings refused"
    SHUTTING_DOWN = "shutting down"
    STOPPING = "stopping"
    STOPPING_AT_ONCE = "stopping at once"
    STOPPED = "stopped"
    HANDING_SHARDS_OVER = "handing shards over"
    CERTIFICATE_RELOADED = "certificate reloaded"
    CERTIFICATE_NOT_RELOADED = "certificate not reloaded"
    LOG_LINES_DROPPED = "log lines dropped"
    PROCESS_LATE = "process late"
    PROCESS_ON_TIME_AGAIN = "process on time again"

    # Callers
    JOB_ACCEPTED = "job accepted"
    JOB_NOT_ACCEPTED = "job not accepted"
    JOB_CANCELLED = "job cancelled"
    STATE_ANSWERED = "state answered"
    REQUEST_FAILED = "request failed"
    REQUEST_RECORD_LOST = "request record lost"
    INVARIANT_VIOLATED = "invariant violated"

    # Jobs, steps and runs
    JOB_TAKEN = "job taken"
    JOB_ENDED = "job ended"
    STEP_WAITS = "step waits"
    PERMISSIONS_LACKING = "permissions lacking"
    ADVISED = "advised"
    ADVICE_FAILED = "advice failed"
    TASK_PLACED = "task placed"
    RUN_STARTED = "run started"
    START_REFUSED = "start refused"
    START_GIVEN_UP = "start given up"
    RUN_ENDED = "run ended"
    ENDS_ACKNOWLEDGED = "ends acknowledged"
    RUN_FAILED = "run failed"
    RUN_MOVED = "run moved"
    RUN_NOT_LISTED = "run not listed"
    SUPERFLUOUS_RUN = "superfluous run"
    STOPPING_A_STRAY_RUN = "stopping a stray run"
    STOPPED_FOR_URGENT_WORK = "stopped for urgent work"
    ROOM_RESERVED_IN_ALL_SHARDS = "room reserved in all shards"
    RESERVATION_ENDED = "reservation ended"
    LATE_OUTCOME_OF_AN_EARLIER_RUN = "late outcome of an earlier run"

    # Ownership of the cell and of shards
    OWNERSHIP_TAKEN = "ownership taken"
    OWNERSHIP_LAPSED = "ownership lapsed"
    OWNERSHIP_GIVEN_UP = "ownership given up"
    OWNERSHIP_HANDED_OVER = "ownership handed over"
    OWNER = "owner"
    OWNER_GONE = "owner gone"
    EARLIER_OWNER_STOPPED = "earlier owner stopped"
    CELL_LOADED = "cell loaded"
    CELL_RECOVERED = "cell recovered"
    FENCED = "fenced"
    SUPERSEDED = "superseded"
    SHARD_TAKEN = "shard taken"
    SHARD_NOT_TAKEN = "shard not taken"
    SHARD_RELEASED = "shard released"
    SHARD_RECOVERED = "shard recovered"

    # Manifest
    MANIFEST_IN_FORCE = "manifest in force"
    OLDER_MANIFEST_IGNORED = "older manifest ignored"
    MANIFEST_REMOVED = "manifest removed"
    MANIFEST_UNREADABLE = "manifest unreadable"

    # Workers
    WORKER_ENTRY = "worker entry"
    WORKER_JOINED = "worker joined"
    WORKER_UNLISTED = "worker unlisted"
    WORKER_SILENT = "worker silent"
    WORKER_GONE = "worker gone"
    WORKER_PACE = "worker pace"
    WORKER_QUARANTINED = "worker quarantined"
    WORKER_HAS_A_NEWER_OWNER = "worker has a newer owner"
    FOREIGN_WORKER_ENTRY = "foreign worker entry"
    REPORT_UNREADABLE = "report unreadable"
    ORDER_INVALID = "order invalid"

    # The store
    STORE_DOES_NOT_SERVE = "store does not serve"
    STORE_SERVES_AGAIN = "store serves again"
    STORE_LOST = "store lost"
    STORE_REGAINED = "store regained"
    STORE_REGRESSED = "store regressed"
    STORE_BEHIND_ITS_PAST = "store behind its past"
    HISTORY_GONE = "history gone"
    WATCH_BROKE = "watch broke"
    WATCH_IS_SILENT = "watch is silent"
    LEASE_OPENED = "lease opened"
    LEASE_LAPSED = "lease lapsed"
    LOG_STALLED = "log stalled"
    LOG_GOES_ON = "log goes on"
    LOG_FOLDED = "log folded"
    DAMAGED_RECORD = "damaged record"
    FOREIGN_KEY = "foreign key"
    KEY_OF_AN_UNKNOWN_JOB = "key of an unknown job"

    # Links between instances
    MEMBER_ENTERED = "member entered"
    MEMBER_LAPSED = "member lapsed"
    RELAY_SILENT = "relay silent"
    SILENT_LINK_REPLACED = "silent link replaced"
    DAMAGED_MESSAGE = "damaged message"
