"""Abstract cluster that enumerates all orders of losses and repairs.

Machines freeze, thaw, lose their disks and are removed for good, leaders
change, and a leader's entries reach any subset of the others. The rules that
decide are those of the product: the repair plan, the changes of the replica
set, the majorities, and who may vote. Time is left out: a replica that doesn't
answer may appear silent for any time.

At each state, all remaining machines are assumed to be back. Then some replica
has to win an election, and each that can win has to hold all that was
committed. A machine counts as lost until the committed replica set doesn't list
the replica of its lost disk any more, and may lose its disk again meanwhile. No
more are lost at the same time than the cluster tolerates.

``python -m tests.control.repairmodel LOSSES SPARES DEPTH`` explores by hand.
"""

from __future__ import annotations

import itertools
import sys
from collections.abc import Callable, Iterable, Iterator

import attrs

from borageward.control.cluster.repairplan import RepairPlan, ReplicaHealth
from borageward.control.consensus import voter_sets
from borageward.control.consensus.eligibility import may_grant_vote, may_stand
from borageward.control.consensus.exchange import (
    VoterExchange,
    begin_exchange,
    complete_exchange,
)
from borageward.control.consensus.majorities import (
    has_majority,
    has_vote,
    majority_value,
    voter_ids,
)
from borageward.control.consensus.replicas import (
    add_learner,
    find_replica,
    promote_voter,
    remove_voter,
)
from borageward.control.storage import Identity
from borageward.failures import Failure
from borageward.messages.consensus import (
    Replica,
    SetJointReplicas,
    SetReplicas,
)
from borageward.messages.control import AddLearner, PromoteVoter

# Silences that a replica that doesn't answer may have, in ms: below and above
# the limits of the repair for learners and for voters.
SILENCES_MS = (100, 1000, 3000)


def plan_repair(replicas, health, voter_count):
    """Return the change that the product makes next, or ``None``."""
    step = RepairPlan(replicas, health, voter_count).next_step()
    return None if step is None else step.request


@attrs.frozen
class Rules:
    """Rules that tests replace by faulty ones.

    ``feeds_learners`` tells whether replicas without a vote get entries before
    they are committed.
    """

    plan: Callable = plan_repair
    may_stand: Callable = may_stand
    may_grant_vote: Callable = may_grant_vote
    feeds_learners: bool = False


@attrs.frozen(eq=False)
class Entry:
    """Log entry, which may bring a replica set into use.

    Entries are compared by identity, so each is created once.
    """

    term: int
    index: int
    replicas: SetReplicas | None


Log = tuple[Entry, ...]


@attrs.frozen(cache_hash=True)
class Leader:
    """Volatile state of a leader, with match indexes by voter id."""

    term: int
    commit: int
    matches: tuple[tuple[str, int], ...] = ()


@attrs.frozen(cache_hash=True)
class Machine:
    """A machine with the disk of one replica."""

    voter_id: str
    log: Log
    term: int
    answers: bool = True
    gone: bool = False
    leader: Leader | None = None

    @property
    def replicas(self) -> SetReplicas:
        """Return the newest replica set in the log."""
        return newest_replicas(self.log)

    @property
    def position(self) -> tuple[int, int]:
        """Return the term and index of the last entry."""
        return (self.log[-1].term if self.log else 0, len(self.log))

    @property
    def identity(self) -> Identity:
        """Return the identity on the disk."""
        return Identity(
            self.voter_id,
            self.voter_id.encode(),
            learner='#' in self.voter_id,
            admitted='#' not in self.voter_id,
            known={},
        )


@attrs.frozen(cache_hash=True)
class State:
    """All machines, what was committed, and the disks lost at present."""

    machines: tuple[Machine, ...]
    committed: Log
    lost: frozenset[str] = frozenset()

    def changed(self, number: int, **fields: object) -> State:
        """Return the state with one machine changed."""
        machine = attrs.evolve(self.machines[number], **fields)
        machines = (
            *self.machines[:number],
            machine,
            *self.machines[number + 1 :],
        )
        return State(machines, self.committed, self.lost)


Steps = Iterator[tuple[str, State]]


def newest_replicas(log: Log) -> SetReplicas:
    """Return the newest replica set of a log; an empty one has none."""
    for entry in reversed(log):
        if entry.replicas is not None:
            return entry.replicas
    return SetReplicas((), ())


@attrs.frozen
class Exploration:
    """Result of an exploration.

    ``states`` is the number of states. ``problem`` tells what is wrong in the
    first faulty one, and ``path`` the steps that lead there.
    """

    states: int
    problem: str = ''
    path: tuple[str, ...] = ()


class Model:
    """All steps of a cluster that tolerates a number of lost disks."""

    def __init__(
        self,
        *,
        losses: int,
        spares: int,
        rules: Rules | None = None,
    ) -> None:
        """Create a cluster of ``2 * losses + 1`` voters and some spares."""
        self._losses = losses
        self._voter_count = 2 * losses + 1
        self._count = self._voter_count + spares
        self._rules = rules or Rules()
        self._judged: dict[tuple, str] = {}
        self._entries: dict[tuple, Entry] = {}

    def start(self) -> State:
        """Return the state in which all replicas hold the same log."""
        replicas = tuple(map(self._replica, range(self._count)))
        log = self._extended((), 1, SetReplicas(replicas, ()))
        matches = tuple((rep.voter_id, 1) for rep in replicas[1:])
        machines = tuple(Machine(rep.voter_id, log, 1) for rep in replicas)
        state = State(machines, log)
        return state.changed(0, leader=Leader(1, 1, matches))

    def explore(self, depth: int) -> Exploration:
        """Visit all states within a number of steps, the nearest first."""
        newest = [self.start()]
        reached: dict[State, tuple[State | None, str]] = {
            newest[0]: (None, ''),
        }
        for _ in range(depth):
            found = []
            for state, name, following in self._following(newest):
                if following in reached:
                    continue
                reached[following] = (state, name)
                problem = self.judge(following)
                if problem:
                    path = _path_to(reached, following)
                    return Exploration(len(reached), problem, path)
                found.append(following)
            newest = found
        return Exploration(len(reached))

    def judge(self, state: State) -> str:
        """Return what is wrong when all remaining machines are back."""
        disks = tuple(
            (machine.voter_id, machine.log)
            for machine in state.machines
            if not machine.gone
        )
        key = (disks, state.committed)
        if key not in self._judged:
            self._judged[key] = self._judge(state)
        return self._judged[key]

    def steps(self, state: State) -> Steps:
        """Yield the steps from a state, with their names.

        Of machines in the same situation, only the first is disturbed.
        """
        classes = self._classes(state)
        for number, machine in enumerate(state.machines):
            if machine.gone:
                continue
            if classes.index(classes[number]) == number:
                yield from self._disturb(state, number)
            if machine.answers:
                yield from self._act(state, number, classes)

    def _following(
        self,
        states: Iterable[State],
    ) -> Iterator[tuple[State, str, State]]:
        for state in states:
            for name, following in self.steps(state):
                yield state, name, following

    def _act(self, state: State, number: int, classes: list) -> Steps:
        machine = state.machines[number]
        if self._is_retired(state, machine.voter_id):
            yield f'{number} renews its id', self._renew(state, number)
        if machine.leader is None:
            yield from self._elect(state, number)
            return
        yield from self._replicate(state, number, classes)
        if _committed(machine) is machine.replicas:
            yield from self._join(state, number)
            yield from self._repair(state, number)

    def _replica(self, number: int) -> Replica:
        voter = number < self._voter_count
        voter_id = str(number) if voter else f'{number}#0'
        return Replica(
            voter_id,
            str(number),
            str(number),
            voter=voter,
            storage_id=voter_id.encode() if voter else b'',
        )

    def _extended(
        self,
        log: Log,
        term: int,
        replicas: SetReplicas | None,
    ) -> Log:
        """Return a log with one more entry."""
        entry = Entry(term, len(log) + 1, replicas)
        key = (term, entry.index, replicas)
        return (*log, self._entries.setdefault(key, entry))

    def _classes(self, state: State) -> list[tuple]:
        """Return for each machine what tells it from the others.

        Voters that stand alike in all logs are exchangeable, but for the order
        in which the repair takes them.
        """
        sets = {
            entry.replicas
            for machine in state.machines
            for entry in machine.log
            if entry.replicas is not None
        }
        return [
            (
                machine.log,
                machine.term,
                machine.answers,
                machine.leader,
                machine.voter_id in state.lost,
                _standing(machine.voter_id, sets),
                _known_matches(machine.voter_id, state),
            )
            for machine in state.machines
        ]

    def _judge(self, state: State) -> str:
        machines = [
            attrs.evolve(machine, answers=True)
            for machine in state.machines
            if not machine.gone
        ]
        winners = [
            machine
            for machine in machines
            if self._wins(machine, machines, state.committed)
        ]
        if not winners:
            return 'no replica can be elected'
        for winner in winners:
            if winner.log[: len(state.committed)] != state.committed:
                return f'{winner.voter_id} can be elected without all entries'
        return ''

    # Machines and disks.

    def _disturb(self, state: State, number: int) -> Steps:
        machine = state.machines[number]
        name = 'freezes' if machine.answers else 'thaws'
        changed = state.changed(number, answers=not machine.answers)
        yield f'{number} {name}', changed
        lost = state.lost | {machine.voter_id}
        if len(set(map(_address, lost))) > self._losses:
            return
        damaged = attrs.evolve(self._renew(state, number), lost=lost)
        yield f'{number} loses its disk', damaged
        removed = state.changed(number, gone=True, answers=False, leader=None)
        yield f'{number} is removed', attrs.evolve(removed, lost=lost)

    def _renew(self, state: State, number: int) -> State:
        """Return the state with an empty disk under a new id."""
        _, _, former = state.machines[number].voter_id.partition('#')
        generation = int(former or 0) + 1
        return state.changed(
            number,
            voter_id=f'{number}#{generation}',
            log=(),
            term=0,
            answers=True,
            leader=None,
        )

    def _is_retired(self, state: State, voter_id: str) -> bool:
        """Return whether a leader that answers has committed the removal."""
        return any(
            voter_id in _committed(machine).retired
            for machine in state.machines
            if machine.leader is not None and machine.answers
        )

    # Elections.

    def _elect(self, state: State, number: int) -> Steps:
        candidate = state.machines[number]
        answering = [item for item in state.machines if item.answers]
        if not self._wins(candidate, answering, state.committed):
            return
        term = 1 + max(item.term for item in answering)
        for other, machine in enumerate(state.machines):
            if machine.answers and self._grants(machine, candidate):
                state = state.changed(other, term=term, leader=None)
        log = self._extended(candidate.log, term, None)
        yield (
            f'{number} is elected',
            state.changed(number, log=log, term=term, leader=Leader(term, 0)),
        )

    def _wins(
        self,
        candidate: Machine,
        answering: list[Machine],
        committed: Log,
    ) -> bool:
        known = newest_replicas(_common_prefix(candidate.log, committed))
        if not self._rules.may_stand(
            candidate.replicas,
            known,
            candidate.identity,
        ):
            return False
        granted = {
            machine.voter_id
            for machine in answering
            if self._grants(machine, candidate)
        }
        sets = voter_sets(candidate.replicas)
        return has_majority(sets, granted | {candidate.voter_id})

    def _grants(self, machine: Machine, candidate: Machine) -> bool:
        counted = find_replica(candidate.replicas.replicas, machine.voter_id)
        if counted is None or candidate.position < machine.position:
            return False
        return self._rules.may_grant_vote(
            machine.replicas,
            machine.identity,
            counted.storage_id,
        )

    # Leaders.

    def _replicate(self, state: State, number: int, classes: list) -> Steps:
        leader = state.machines[number]
        others = [
            other
            for other, machine in enumerate(state.machines)
            if machine.answers and self._has_work(leader, machine)
        ]
        for receivers in _subsets(others):
            if _takes_first(receivers, others, classes):
                following = self._send(state, number, receivers)
                yield f'{number} sends to {receivers}', following

    def _has_work(self, leader: Machine, machine: Machine) -> bool:
        """Return whether a machine lacks entries that the leader sends."""
        if machine.voter_id == leader.voter_id:
            return False
        sent = self._sent_log(leader, machine)
        matches = dict(leader.leader.matches)
        if matches.get(machine.voter_id, -1) == len(sent):
            return False
        listed = (*leader.replicas.replicas, *_committed(leader).replicas)
        return find_replica(listed, machine.voter_id) is not None

    def _sent_log(self, leader: Machine, machine: Machine) -> Log:
        """Return the entries that a leader sends to a machine."""
        if self._rules.feeds_learners:
            return leader.log
        if has_vote(leader.replicas, machine.voter_id):
            return leader.log
        return leader.log[: leader.leader.commit]

    def _send(
        self,
        state: State,
        number: int,
        receivers: tuple[int, ...],
    ) -> State:
        leader = state.machines[number]
        term = leader.leader.term
        matches = dict(leader.leader.matches)
        for other in receivers:
            machine = state.machines[other]
            if machine.term > term:
                return state.changed(number, leader=None, term=machine.term)
            sent = self._sent_log(leader, machine)
            log = _overwritten(machine.log, sent)
            state = state.changed(other, log=log, term=term, leader=None)
            matches[machine.voter_id] = len(sent)
        return self._commit(state, number, matches)

    def _commit(
        self,
        state: State,
        number: int,
        matches: dict[str, int],
    ) -> State:
        """Return the state after the leader has learned of match indexes."""
        machine = state.machines[number]
        known = attrs.evolve(
            machine.leader,
            matches=tuple(sorted(matches.items())),
        )
        reached = {**matches, machine.voter_id: len(machine.log)}
        commit = majority_value(voter_sets(machine.replicas), reached, 0)
        own_term = commit and machine.log[commit - 1].term == known.term
        if not own_term or commit <= known.commit:
            return state.changed(number, leader=known)
        known = attrs.evolve(known, commit=commit)
        if commit > len(state.committed):
            state = _forget_repaired(
                attrs.evolve(state, committed=machine.log[:commit]),
                self._voter_count,
            )
        return self._go_on(state, number, known)

    def _go_on(self, state: State, number: int, known: Leader) -> State:
        """Complete an exchange, or end the lead of a removed replica."""
        state = state.changed(number, leader=known)
        machine = state.machines[number]
        committed = _committed(machine)
        if committed is not machine.replicas:
            return state
        if isinstance(committed, SetJointReplicas):
            final = complete_exchange(committed)
            log = self._extended(machine.log, known.term, final)
            return state.changed(number, log=log)
        if not has_vote(committed, machine.voter_id):
            return state.changed(number, leader=None)
        return state

    def _append(
        self,
        state: State,
        number: int,
        replicas: SetReplicas | Failure | None,
    ) -> State | None:
        if replicas is None or isinstance(replicas, Failure):
            return None
        leader = state.machines[number]
        log = self._extended(leader.log, leader.leader.term, replicas)
        return self._commit(
            state.changed(number, log=log),
            number,
            dict(leader.leader.matches),
        )

    def _join(self, state: State, number: int) -> Steps:
        replicas = state.machines[number].replicas
        if isinstance(replicas, SetJointReplicas):
            return
        for other, machine in enumerate(state.machines):
            if not machine.answers:
                continue
            request = AddLearner(machine.voter_id, str(other), str(other))
            added = add_learner(replicas, request)
            following = self._append(state, number, added)
            if following is not None:
                yield f'{number} adds {machine.voter_id}', following

    def _repair(self, state: State, number: int) -> Steps:
        leader = state.machines[number]
        requests = []
        for health in _possible_health(state, leader):
            request = self._rules.plan(
                leader.replicas,
                health,
                self._voter_count,
            )
            if request is not None and request not in requests:
                requests.append(request)
        for request in requests:
            changed = _change(leader.replicas, request)
            following = self._append(state, number, changed)
            if following is not None:
                yield f'{number} decides {request}', following


def _possible_health(
    state: State,
    leader: Machine,
) -> Iterator[dict[str, ReplicaHealth]]:
    """Yield what a leader may believe of the other replicas."""
    matches = dict(leader.leader.matches)
    answering = {item.voter_id for item in state.machines if item.answers}
    others = [
        replica.voter_id
        for replica in leader.replicas.replicas
        if replica.voter_id != leader.voter_id
    ]
    choices = [(0,) if other in answering else SILENCES_MS for other in others]
    needed = max(1, leader.leader.commit)
    own = ReplicaHealth(0, has_answered=True, is_caught_up=True)
    for silences in itertools.product(*choices):
        yield {leader.voter_id: own} | {
            other: ReplicaHealth(
                silence_ms,
                other in matches,
                matches.get(other, 0) >= needed,
            )
            for other, silence_ms in zip(others, silences, strict=True)
        }


def _change(current, request):
    """Return the replica set after a change, as the product computes it."""
    storage_ids = {
        replica.voter_id: replica.voter_id.encode()
        for replica in current.replicas
    }
    if isinstance(request, VoterExchange):
        return begin_exchange(current, request, storage_ids)
    if isinstance(request, PromoteVoter):
        return promote_voter(current, request, storage_ids[request.voter_id])
    return remove_voter(current, request)


def _forget_repaired(state: State, voter_count: int) -> State:
    """Drop the lost disks that the committed replica set doesn't list.

    Only a full number of voters can bear the next loss.
    """
    committed = newest_replicas(state.committed)
    if isinstance(committed, SetJointReplicas):
        return state
    if len(voter_ids(committed)) < voter_count:
        return state
    listed = {replica.voter_id for replica in committed.replicas}
    return attrs.evolve(state, lost=state.lost & listed)


def _address(voter_id: str) -> str:
    """Return the machine of a replica, whose disk may be lost repeatedly."""
    return voter_id.partition('#')[0]


def _committed(machine: Machine) -> SetReplicas:
    """Return the replica set that a leader has committed."""
    return newest_replicas(machine.log[: machine.leader.commit])


def _common_prefix(log: Log, other: Log) -> Log:
    length = 0
    for own, known in zip(log, other, strict=False):
        if own is not known:
            break
        length += 1
    return log[:length]


def _overwritten(log: Log, sent: Log) -> Log:
    """Return a log after entries were sent; only conflicts are dropped."""
    return log if log[: len(sent)] == sent else sent


def _standing(voter_id: str, sets: Iterable[SetReplicas]) -> tuple:
    """Return how a replica is listed in each of some replica sets."""
    return tuple(
        (
            has_vote(replicas, voter_id),
            voter_id in voter_ids(replicas),
            find_replica(replicas.replicas, voter_id) is not None,
        )
        for replicas in sets
    )


def _known_matches(voter_id: str, state: State) -> tuple:
    """Return the match indexes that the leaders know of a replica."""
    return tuple(
        dict(machine.leader.matches).get(voter_id)
        for machine in state.machines
        if machine.leader is not None
    )


def _subsets(numbers: list[int]) -> Iterator[tuple[int, ...]]:
    for size in range(1, len(numbers) + 1):
        yield from itertools.combinations(numbers, size)


def _takes_first(
    chosen: tuple[int, ...],
    numbers: list[int],
    classes: list,
) -> bool:
    """Return whether the first machines of each class are chosen."""
    skipped = [classes[number] for number in numbers if number not in chosen]
    return all(
        classes[number] != classes[other]
        for number in chosen
        for other in numbers
        if other < number and other not in chosen and classes[other] in skipped
    )


def _path_to(
    reached: dict[State, tuple[State | None, str]],
    state: State | None,
) -> tuple[str, ...]:
    """Return the names of the steps that lead to a state."""
    names = []
    while state is not None:
        state, name = reached[state]
        names.append(name)
    return tuple(reversed(names[:-1]))


def main() -> None:
    """Explore with the rules of the product; print the result."""
    losses, spares, depth = map(int, sys.argv[1:])
    found = Model(losses=losses, spares=spares).explore(depth)
    lines = (f'{found.states} states', found.problem, *found.path, '')
    sys.stdout.write('\n'.join(lines))


if __name__ == '__main__':
    main()
