"""The state that every replica derives from the control log."""

from __future__ import annotations

from borageward.control.state.machine import StateMachine, StateReply

__all__ = ('StateMachine', 'StateReply')
