"""A dictionary that records whether it was changed."""

from __future__ import annotations

from typing import TypeVar


_K = TypeVar("_K")
_V = TypeVar("_V")


class ChangeTrackingDict(dict[_K, _V]):
    """Records whether an item was set to another value or removed.

    Only assignment and ``del`` are tracked, not the other methods that change a
    dictionary.

    >>> tracked = ChangeTrackingDict({"a": 1})
    >>> tracked["a"] = 1
    >>> tracked.pop_changed()
    False
    >>> del tracked["a"]
    >>> tracked.pop_changed(), tracked.pop_changed()
    (True, False)
    """

    changed = False

    def __setitem__(self, key: _K, value: _V) -> None:
        if key not in self or self[key] != value:
            self.changed = True
        super().__setitem__(key, value)

    def __delitem__(self, key: _K) -> None:
        super().__delitem__(key)
        self.changed = True

    def pop_changed(self) -> bool:
        """Return whether an item changed since the last call, and reset the flag."""
        changed, self.changed = self.changed, False
        return changed
