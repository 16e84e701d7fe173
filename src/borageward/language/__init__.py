"""Query and command language for operators, and plans of their changes."""

from __future__ import annotations

from borageward.language.answer import (
    Answer,
    AnswerFormat,
    Source,
    format_answer,
)
from borageward.language.execution import (
    EntryStatus,
    answer_entry_query,
    run_query,
)
from borageward.language.parser import parse_sentence
from borageward.language.plan import (
    Plan,
    make_plan,
    plan_covers,
    plan_digest,
    plan_states_change,
)
from borageward.language.query import (
    CancelJob,
    Query,
    QuerySource,
    Sentence,
    Subject,
)
from borageward.language.sentences import sentence_of
from borageward.language.service import answer_request
from borageward.language.undo import undo_change

__all__ = (
    'Answer',
    'AnswerFormat',
    'CancelJob',
    'EntryStatus',
    'Plan',
    'Query',
    'QuerySource',
    'Sentence',
    'Source',
    'Subject',
    'answer_entry_query',
    'answer_request',
    'format_answer',
    'make_plan',
    'parse_sentence',
    'plan_covers',
    'plan_digest',
    'plan_states_change',
    'run_query',
    'sentence_of',
    'undo_change',
)
