"""Problems found in a settings document."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from borageward.failures import Failure, FailureReason


@attrs.frozen(slots=True)
class SettingsProblem:
    """One problem and its JSON path in the document."""

    path: str
    detail: str

    def __str__(self) -> str:
        """Return the problem on one line."""
        return f'{self.path}: {self.detail}'


@attrs.frozen(slots=True)
class InvalidSettings(Failure):
    """Failure to read settings, with every problem of the document."""

    problems: tuple[SettingsProblem, ...] = ()

    @classmethod
    def of(
        cls,
        source: str,
        problems: Iterable[SettingsProblem],
    ) -> InvalidSettings:
        """Create the failure; its detail lists all problems on one line.

        ``source`` names the document in the detail.
        """
        listed = tuple(problems)
        summary = '; '.join(str(problem) for problem in listed)
        return cls(
            FailureReason.INVALID_REQUEST,
            f'{source}: {summary}',
            problems=listed,
        )
