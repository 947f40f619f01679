"""A dictionary that notes whether it was changed."""

from __future__ import annotations

from typing import TypeVar


_K = TypeVar("_K")
_V = TypeVar("_V")


class MarkedDict(dict[_K, _V]):
    """Notes that an item was set to another value or was removed.

    Only assignment and ``del`` are noted, not the other methods that change a
    dictionary.

    >>> marked = MarkedDict({"a": 1})
    >>> marked["a"] = 1
    >>> marked.take_changed()
    False
    >>> del marked["a"]
    >>> marked.take_changed(), marked.take_changed()
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

    def take_changed(self) -> bool:
        """Return whether anything has changed since the last call."""
        changed, self.changed = self.changed, False
        return changed
