"""Faults of the model, drawn from a seed and overlapping."""

from __future__ import annotations

import trio

from tests.model.endpointfaults import EndpointFaults
from tests.model.powerfaults import PowerFaults

_CALL_KINDS = ('start', 'stop', 'hold', 'read')
# Pause of TCP before it sends again for the first time.
_FIRST_PAUSE_S = (0.2, 0.25)


class Faults:
    """Applies pairs of faults: one at entries, others at guards."""

    def __init__(
        self,
        entries,
        guards,
        network,
        monitor,
        rng,
        *,
        late_notices=True,
        extra=False,
    ):
        """Draw the hosts, kinds, times and durations from ``rng``.

        Without ``late_notices`` an entry that was cut off from its callers
        notices their broken connections at the end of the cut, and otherwise
        when TCP repeats their ends. With ``extra`` the faults of endpoints and
        of the power of hosts are drawn too.
        """
        self._late_notices = late_notices
        self._entries = entries
        self._guards = guards
        self._network = network
        self._monitor = monitor
        self._rng = rng
        self._entry_kinds = (
            self._kill_entry,
            self._darken_entry,
            self._darken_entry,
            self._freeze_entry,
            self._slow_entry,
            self._cut_entry,
            self._cut_entry,
            self._reset_links,
            self._reset_callers,
            self._terminate_entry,
            self._delay_paths,
        )
        self._guard_kinds = (
            self._freeze_guard,
            self._slow_guard,
            self._kill_guard,
            self._restart_endpoint,
            self._leave_endpoint,
            self._report_foreign_endpoint,
            self._repeat_delete,
            self._late_calls,
            self._late_calls,
            self._late_calls,
        )

        if extra:
            endpoint_faults = EndpointFaults(guards, monitor, rng)
            power_faults = PowerFaults(entries, guards, network, monitor, rng)
            self._entry_kinds += power_faults.entry_kinds
            self._guard_kinds += power_faults.guard_kinds
            self._guard_kinds += endpoint_faults.kinds

    async def run(self, end_s):
        """Apply episodes of overlapping faults until ``end_s``."""
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                await trio.sleep(self._rng.uniform(0.5, 2))
                kinds = [self._rng.choice(self._entry_kinds)]
                kinds += self._rng.choices(
                    self._guard_kinds, k=self._rng.randint(1, 3)
                )
                if self._chance(0.3):
                    kinds.append(self._rng.choice(self._entry_kinds))
                for kind in kinds:
                    delay_s = self._rng.uniform(0, 0.8)
                    nursery.start_soon(self._apply, kind, delay_s)

    async def _apply(self, kind, delay_s):
        await trio.sleep(delay_s)
        await kind()

    def _chance(self, share):
        return self._rng.random() < share

    def _note(self, text, **fields):
        self._monitor.record('fault', text, fields)

    def _pick(self, hosts):
        alive = [
            host
            for host in hosts
            if host.process is not None and host.process.alive
        ]
        return self._rng.choice(alive) if alive else None

    def _some_guards(self):
        if self._chance(0.5):
            return list(self._guards)
        count = self._rng.randint(1, len(self._guards))
        return self._rng.sample(self._guards, count)

    async def _kill_entry(self):
        entry = self._pick(self._entries)
        if entry is None:
            return
        self._note('kill', entry=entry.name)
        entry.kill()
        await trio.sleep(self._rng.uniform(0.2, 2))
        entry.start_entry()

    async def _darken_entry(self):
        entry = self._pick(self._entries)
        if entry is None:
            return
        self._note('lose_power', entry=entry.name)
        entry.lose_power()
        if self._chance(0.8):
            entry.break_exchanges()
        await trio.sleep(self._rng.uniform(0.5, 4))
        entry.break_exchanges()
        for guard in self._guards:
            self._network.reset(entry.name, guard.name)
        entry.start_entry()

    async def _freeze_entry(self):
        await self._freeze(self._pick(self._entries))

    async def _freeze_guard(self):
        await self._freeze(self._pick(self._guards))

    async def _freeze(self, host):
        if host is None:
            return
        duration_s = self._rng.uniform(0.1, 3)
        self._note('freeze', host=host.name, duration_s=round(duration_s, 3))
        host.process.freeze(duration_s)
        if hasattr(host, 'break_exchanges') and self._chance(0.5):
            host.break_exchanges()

    async def _slow_entry(self):
        self._slow(self._pick(self._entries))

    async def _slow_guard(self):
        self._slow(self._pick(self._guards))

    def _slow(self, host):
        if host is not None:
            delay_s = self._rng.choice((0.02, 0.1, 0.3))
            self._note('slow', host=host.name, delay_s=delay_s)
            host.process.slow_down(self._rng.uniform(0.5, 4), delay_s)

    async def _cut_entry(self):
        """Cut an entry off from guards, one way or both."""
        entry = self._pick(self._entries)
        if entry is None:
            return
        guards = self._some_guards()
        ways = self._rng.choice(('both', 'both', 'to', 'from'))
        paths = _find_paths(entry, guards, ways)
        names = ','.join(guard.name for guard in guards)
        self._note('cut', entry=entry.name, guards=names, ways=ways)
        for path in paths:
            self._network.cut(path)
        duration_s = self._rng.choice(
            (self._rng.uniform(0.2, 1.2), self._rng.uniform(0.5, 4)),
        )
        if self._chance(0.6):
            pause_s = self._rng.choice((0, self._rng.uniform(0, 0.2)))
            await trio.sleep(pause_s)
            duration_s -= pause_s
            is_cut_off = ways != 'to' and len(guards) == len(self._guards)
            self._break_callers(entry, duration_s, is_cut_off=is_cut_off)
        await trio.sleep(duration_s)
        self._note('heal', entry=entry.name)
        if self._chance(0.3):
            for guard in guards:
                self._network.reset(entry.name, guard.name)
        for healed in paths:
            self._network.heal(healed)

    def _break_callers(self, entry, cut_s, *, is_cut_off):
        """Break the connections of the callers of an entry in a cut.

        An entry that hears no guard may be cut off from its callers too. It is
        not called then, and notices the ends of connections only after the cut.
        One that hears a guard notices at once: what a cut in the direction of
        the guards holds back is only what the entry sends.
        """
        delay_s = 0.001
        if is_cut_off and self._chance(0.5):
            pause_s = self._rng.uniform(*_FIRST_PAUSE_S)
            delay_s = cut_s
            entry.cut_off_until = trio.current_time() + cut_s
            if self._late_notices:
                delay_s = _next_repeat_s(pause_s, cut_s)
        self._note(
            'break_callers',
            entry=entry.name,
            noticed_after_s=round(delay_s, 3),
        )
        entry.break_exchanges(delay_s=delay_s)

    async def _reset_links(self):
        entry = self._pick(self._entries)
        if entry is not None:
            guards = self._some_guards()
            self._note('reset_links', entry=entry.name)
            for guard in guards:
                self._network.reset(entry.name, guard.name)

    async def _reset_callers(self):
        entry = self._pick(self._entries)
        if entry is not None:
            self._note('reset_callers', entry=entry.name)
            entry.break_exchanges(share=0.6, rng=self._rng)

    async def _terminate_entry(self):
        entry = self._pick(self._entries)
        if entry is None:
            return
        self._note('terminate', entry=entry.name)
        entry.terminate()
        await trio.sleep(self._rng.uniform(0.05, 0.5))
        entry.kill()
        await trio.sleep(self._rng.uniform(0.2, 1))
        entry.start_entry()

    async def _delay_paths(self):
        """Delay what entries and guards send to each other."""
        extra_s = self._rng.choice((0.05, 0.2, 0.6))
        entry = self._rng.choice(self._entries)
        self._note('delay', entry=entry.name, extra_s=extra_s)
        paths = [(entry.name, guard.name) for guard in self._some_guards()]
        if self._chance(0.5):
            paths += [(target, source) for source, target in paths]
        for path in paths:
            self._network.slow_down(path, extra_s)
        await trio.sleep(self._rng.uniform(0.5, 3))
        for slowed in paths:
            self._network.slow_down(slowed, 0)

    async def _kill_guard(self):
        guard = self._pick(self._guards)
        if guard is None:
            return
        self._note('kill', guard=guard.name)
        guard.process.end()
        await trio.sleep(self._rng.uniform(0.1, 1.5))
        guard.start_guard()

    async def _restart_endpoint(self):
        """Crash an endpoint, which comes back under its id or another one."""
        guard = self._rng.choice(self._guards)
        endpoint = guard.endpoint
        if endpoint.down:
            return
        same_id = self._chance(0.7)
        self._note('crash', endpoint=endpoint.name, same_id=same_id)
        endpoint.crash()
        await trio.sleep(self._rng.uniform(0.05, 1.5))
        if same_id:
            endpoint.start_again()
        else:
            endpoint.end('crash')
            guard.new_endpoint()
        await trio.sleep(self._rng.uniform(0, 0.8))
        guard.report()

    async def _leave_endpoint(self):
        """Let an endpoint drain, send its DELETE and end some time later."""
        guard = self._rng.choice(self._guards)
        endpoint = guard.endpoint
        if endpoint.down or endpoint.draining:
            return
        endpoint.draining = True
        self._note('drain', endpoint=endpoint.name)
        guard.report()
        await trio.sleep(self._rng.uniform(0.2, 2.5))
        self._note('delete', endpoint=endpoint.name)
        guard.report_leaving()
        await trio.sleep(
            self._rng.choice((0.002, self._rng.uniform(0.1, 3))),
        )
        if endpoint.down or guard.endpoint is not endpoint:
            return
        self._note('end', endpoint=endpoint.name)
        endpoint.end('left')
        await trio.sleep(self._rng.uniform(0, 1))
        guard.new_endpoint()
        guard.report()

    async def _report_foreign_endpoint(self):
        """Let another writer report an endpoint that is not at this host."""
        guard = self._rng.choice(self._guards)
        self._note('foreign_report', guard=guard.name)
        guard.report_foreign()

    async def _repeat_delete(self):
        """Send a DELETE in the name of an endpoint that works on."""
        guard = self._rng.choice(self._guards)
        if not guard.endpoint.down:
            self._note('repeat_delete', endpoint=guard.endpoint.name)
            guard.report_leaving()

    async def _late_calls(self):
        """Let calls of an endpoint be unanswered, lost or carried out late."""
        rng = self._rng
        share = rng.choice((0.3, 0.7, 1))
        kinds = rng.choice(
            (('stop',), ('stop',), ('start', 'stop'), _CALL_KINDS, ('hold',)),
        )
        applied_share = rng.choice((0, 0.5, 1))
        applies_at_once = self._chance(0.2)
        guards = self._some_guards()
        names = ','.join(guard.name for guard in guards)
        self._note(
            'late_calls',
            guards=names,
            kinds=','.join(kinds),
            share=share,
            applied=applied_share,
            at_once=applies_at_once,
        )
        endpoints = [guard.endpoint for guard in guards]
        for endpoint in endpoints:
            endpoint.late = frozenset(kinds)
            endpoint.late_share = share
            endpoint.applied_share = applied_share
            endpoint.applies_at_once = applies_at_once
        await trio.sleep(rng.uniform(0.5, 5))
        for ended in endpoints:
            ended.late = frozenset()
        self._note('late_calls_end', guards=names)


def _find_paths(entry, guards, ways):
    """Return the paths between an entry and guards in the ways of a cut."""
    paths = []
    for guard in guards:
        if ways != 'from':
            paths.append((entry.name, guard.name))
        if ways != 'to':
            paths.append((guard.name, entry.name))
    return paths


def _next_repeat_s(pause_s, cut_s):
    """Return when the end of a connection is repeated after a cut.

    The pauses between the repetitions double.
    """
    repeat_s = 0
    while repeat_s <= cut_s:
        repeat_s += pause_s
        pause_s *= 2
    return repeat_s
