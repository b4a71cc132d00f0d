"""Convert exceptions of aiohttp and unexpected ones to the JSON errors of refusals."""

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from foxwinch.gateway.errors import error_document
from foxwinch.log import EventLog
from foxwinch.outcomes import Reason, Refused, RunState, not_run

log = EventLog("gateway")
INTERNAL_ERROR = Refused(Reason.INTERNAL, RunState.UNKNOWN, "internal error; see the node's log")


def error_middleware() -> Middleware:
    """Return the aiohttp middleware that converts exceptions to JSON errors."""

    @web.middleware
    async def convert_exceptions(request: web.Request, handler: Handler) -> web.StreamResponse:
        try:
            return await handler(request)
        except web.HTTPException as error:
            reason = Reason.NOT_FOUND if error.status == 404 else Reason.INVALID_REQUEST
            document = error_document(not_run(reason, f"{request.method}: {error.reason}"))
            return web.json_response(document, status=error.status)
        except ConnectionResetError:
            raise
        except Exception as error:
            log.error("request_failed", path=request.path, error=repr(error))
            return web.json_response(error_document(INTERNAL_ERROR), status=500)

    return convert_exceptions
