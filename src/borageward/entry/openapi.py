"""OpenAPI document of the HTTP interface, and the application serving it."""

from __future__ import annotations

from typing import Any

from quart_trio import QuartTrio

from borageward.entry.request import MAX_DEPTH, MAX_TASKS
from borageward.language.service import MAX_ROWS

_JSON = 'application/json'
_TYPE = 'type'
_NAME_SCHEMA = {  # noqa: WPS407
    _TYPE: 'string',
    'minLength': 1,
    'maxLength': 64,
}
_ERROR_RESPONSES = {  # noqa: WPS407
    '400': 'the request is not valid',
    '404': 'no job with this id is known',
    '409': (
        'the id names a job with a different service or tasks, '
        'or the job was cancelled'
    ),
    '410': 'the id is too old, or the answer is no longer kept',
    '413': 'the body is too large',
    '422': 'the service or the time of the id is refused, or a task failed',
    '429': 'overloaded; not run; see Retry-After',
    '502': 'a part of the system failed; see the state of each task',
    '503': 'refused for now; not run; see Retry-After',
    '504': 'the deadline passed; see the state of each task',
}


def quart_application() -> QuartTrio:
    """Return the application that serves ``/openapi.json``."""
    application = QuartTrio('borageward')
    document = openapi_document()

    @application.get('/openapi.json')
    async def describe() -> dict[str, Any]:  # noqa: WPS430
        return document

    return application


def openapi_document() -> dict[str, Any]:
    """Return the OpenAPI 3.1 document of the paths of an entry."""
    return {
        'openapi': '3.1.0',
        'info': {'title': 'Borageward', 'version': '1'},
        'paths': {
            '/v1/jobs': {'post': _submit_operation()},
            '/v1/jobs/{id}': {
                'parameters': [_id_parameter()],
                'get': _operation('Read the state or the answer of a job.'),
                'delete': _operation('Cancel a job.'),
            },
            '/v1/query': {'post': _query_operation()},
            '/healthz': {'get': _health_operation('The process runs.')},
            '/readyz': {'get': _health_operation('The entry takes new jobs.')},
        },
        'components': {
            'schemas': {'Job': _job_schema(), 'Task': _task_schema()}
        },
    }


def _submit_operation() -> dict[str, Any]:
    operation = _operation('Submit a job and wait for its answer.')
    operation['requestBody'] = {
        'required': True,
        'content': {_JSON: {'schema': {'$ref': '#/components/schemas/Job'}}},
    }
    return operation


def _query_operation() -> dict[str, Any]:
    operation = _operation('Show jobs or workers of this entry.')
    schema = {
        _TYPE: 'object',
        'additionalProperties': False,
        'required': ['sentence'],
        'properties': {
            'sentence': {_TYPE: 'string'},
            'limit': {_TYPE: 'integer', 'minimum': 1, 'maximum': MAX_ROWS},
        },
    }
    operation['requestBody'] = {
        'required': True,
        'content': {_JSON: {'schema': schema}},
    }
    return operation


def _operation(summary: str) -> dict[str, Any]:
    responses = {
        status: {'description': text}
        for status, text in _ERROR_RESPONSES.items()
    }
    responses['200'] = {'description': 'the complete answer'}
    responses['202'] = {'description': 'the job runs'}
    return {'summary': summary, 'responses': responses}


def _health_operation(summary: str) -> dict[str, Any]:
    return {
        'summary': summary,
        'responses': {
            '200': {'description': 'yes'},
            '503': {'description': 'no'},
        },
    }


def _id_parameter() -> dict[str, Any]:
    return {
        'name': 'id',
        'in': 'path',
        'required': True,
        'schema': {_TYPE: 'string', 'format': 'uuid'},
    }


def _job_schema() -> dict[str, Any]:
    return {
        _TYPE: 'object',
        'additionalProperties': False,
        'required': ['id', 'service', 'deadline_ms', 'priority', 'tasks'],
        'properties': {
            'id': {_TYPE: 'string', 'format': 'uuid'},
            'service': _NAME_SCHEMA,
            'deadline_ms': {_TYPE: 'integer', 'minimum': 1},
            'priority': {'enum': ['normal', 'urgent']},
            'tasks': {
                _TYPE: 'array',
                'minItems': 1,
                'maxItems': MAX_TASKS,
                'items': {'$ref': '#/components/schemas/Task'},
            },
        },
    }


def _task_schema() -> dict[str, Any]:
    return {
        _TYPE: 'object',
        'additionalProperties': False,
        'required': ['kind', 'payload', 'idempotent'],
        'properties': {
            'kind': _NAME_SCHEMA,
            'payload': {'description': f'JSON, at most {MAX_DEPTH} deep'},
            'idempotent': {_TYPE: 'boolean'},
            'declared_size': {_TYPE: 'integer', 'minimum': 0},
            'declared_ms': {_TYPE: 'number', 'minimum': 0},
        },
    }
