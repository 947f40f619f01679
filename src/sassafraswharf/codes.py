"""Numbered result codes.

The thousands digit names the area: 1 settings and command line, 2
configuration, 3 requests, 4 membership and ownership, 5 replicated log and
storage, 6 transport and security. ``docs/codes.md`` lists each code with its
meaning and what to do. Codes 31xx say that a request was not run; codes 32xx
say that it may have run.
"""

from __future__ import annotations

from enum import IntEnum


class ResultCode(IntEnum):
    """A result of an operation, as shown to operators and callers."""

    OK = 0

    SETTINGS_UNREADABLE = 1001
    SETTINGS_UNKNOWN_FIELD = 1002
    SETTINGS_INVALID_VALUE = 1003
    SETTINGS_MISSING_FIELD = 1004
    KEY_FILE_UNUSABLE = 1005
    COMMAND_FAILED = 1101

    CONFIGURATION_CONFLICT = 2001
    CHANGE_ID_REUSED = 2002
    CONFIGURATION_INVALID = 2003
    CONFIGURATION_UNAVAILABLE = 2004
    NOT_IN_FORCE_EVERYWHERE = 2005

    BAD_REQUEST = 3001
    UNKNOWN_SERVICE = 3002
    KEY_MISSING = 3003
    BODY_TOO_LARGE = 3004
    IDEMPOTENCY_KEY_MISMATCH = 3005
    UNKNOWN_OPERATION = 3006
    NOT_RUN = 3101
    NOT_OWNER = 3102
    OVERLOADED = 3103
    DEADLINE_EXPIRED = 3104
    NO_UPSTREAM = 3105
    LEASE_EXPIRED = 3106
    JOURNAL_FULL = 3108
    QUARANTINED = 3109
    SHUTTING_DOWN = 3110
    HANDOVER_TIMEOUT = 3111
    OUTCOME_UNKNOWN = 3201
    ANSWER_INCOMPLETE = 3202
    UPSTREAM_TIMEOUT = 3203
    JOURNAL_UNAVAILABLE = 3204

    UNKNOWN_UPSTREAM = 4001
    INVALID_TRANSITION = 4002
    STALE_EPOCH = 4003
    SESSION_CLOSED = 4004
    STALE_TABLE_VERSION = 4005
    UNKNOWN_HOST = 4006

    NOT_LEADER = 5001
    PROPOSAL_TIMEOUT = 5002
    LOG_CORRUPT = 5003
    STORAGE_FAILED = 5004
    SNAPSHOT_CORRUPT = 5005
    VOTER_CHANGE_REFUSED = 5006
    IDENTITY_MISMATCH = 5007

    MESSAGE_MALFORMED = 6001
    MESSAGE_TOO_LARGE = 6002
    MESSAGE_UNAUTHENTICATED = 6003
    MESSAGE_REPLAYED = 6004
    OPERATOR_UNAUTHENTICATED = 6005
    PEER_UNREACHABLE = 6006
