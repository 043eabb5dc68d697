package result

import "net/http"

// All lists every code in ascending order.
var All = []Info{
	{OK, "ok", http.StatusOK, "The call succeeded.", "Nothing to do."},
	{BadJSON, "bad_json", http.StatusBadRequest, "The body is not the JSON object that was expected.", "Correct the body at the place that the message names."},
	{UnknownModel, "unknown_model", http.StatusNotFound, "No service that the key may call serves this model.", "Choose a model from GET /v1/models."},
	{BadKey, "bad_key", http.StatusUnauthorized, "The bearer key is missing or belongs to no organisation.", "Send Authorization: Bearer with a current key."},
	{MissingPrompt, "missing_prompt", http.StatusBadRequest, "The request has no prompt or no messages.", "Send a non-empty prompt or messages."},
	{PromptTooLong, "prompt_too_long", http.StatusRequestEntityTooLarge, "The prompt and the tokens asked for exceed the model's context.", "Shorten the prompt or lower max_tokens."},
	{BadDeadline, "bad_deadline", http.StatusBadRequest, "X-Request-Timeout-Ms is not a whole number within the service's bounds.", "Send a value within the bounds that the message names."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, "The body is larger than the limit of this entry.", "Send a smaller body."},
	{HeadersTooLarge, "headers_too_large", http.StatusRequestHeaderFieldsTooLarge, "The headers are larger than the limit of this entry.", "Send fewer or smaller headers."},
	{UnknownService, "unknown_service", http.StatusNotFound, "No service has this name.", "Check the service's name in the path."},
	{NotAllowed, "not_allowed", http.StatusForbidden, "The key's organisation may not call this service.", "Ask the service's team to add the organisation to its document."},
	{BadIdempotencyKey, "bad_idempotency_key", http.StatusBadRequest, "Idempotency-Key is empty, too long or has characters outside printable ASCII.", "Send 1 to 255 printable ASCII characters."},
	{KeyReused, "key_reused", http.StatusUnprocessableEntity, "The Idempotency-Key was used before with another request.", "Use a new key for a new request."},
	{UnsupportedField, "unsupported_field", http.StatusBadRequest, "A field of the request is not supported.", "Leave out the field that the message names."},
	{NotFound, "not_found", http.StatusNotFound, "Nothing is served at this path.", "Check the method and the path."},
	{CallerGone, "caller_gone", 499, "The caller closed the connection before the answer was complete.", "Keep the connection open until the answer ends."},
	{BadParameter, "bad_parameter", http.StatusBadRequest, "A field of the request has a value outside its bounds.", "Send a value within the bounds that the message names."},
	{RequestTimeout, "request_timeout", http.StatusRequestTimeout, "The head or the body of the request did not arrive in time.", "Send the request again, without pauses."},
	{OrganisationLimit, "organisation_limit", http.StatusTooManyRequests, "The organisation is over its limit of requests, tokens or concurrency.", "Try again after Retry-After."},
	{CannotStartInTime, "cannot_start_in_time", http.StatusServiceUnavailable, "The fleet is too busy to start this request within its time.", "Try again after Retry-After or allow more time."},
	{QueueFull, "queue_full", http.StatusServiceUnavailable, "The upstream's queue is full.", "Try again after Retry-After."},
	{MemoryFull, "memory_full", http.StatusServiceUnavailable, "No engine has the memory for this request in time.", "Try again after Retry-After."},
	{NoReplica, "no_replica", http.StatusServiceUnavailable, "No live replica serves this request.", "Try again after Retry-After; tell the service's team if it lasts."},
	{Draining, "draining", http.StatusServiceUnavailable, "The process asked is stopping and takes no new work.", "Try again; another process will answer."},
	{RetryBudgetSpent, "retry_budget_spent", http.StatusServiceUnavailable, "The service's budget of retries is spent.", "Try again after Retry-After."},
	{StaleOffer, "stale_offer", http.StatusServiceUnavailable, "The offer reached the agent too late to be safe.", "Try again."},
	{WrongIncarnation, "wrong_incarnation", http.StatusServiceUnavailable, "The offer was bound to an agent that has since restarted.", "See X-Execution; try again if it says not-run."},
	{Tombstoned, "tombstoned", http.StatusServiceUnavailable, "The call was cancelled before the offer arrived.", "Try again."},
	{GroupUnavailable, "group_unavailable", http.StatusServiceUnavailable, "No group of engines with enough memory came free in time.", "Try again after Retry-After."},
	{RequestHeldBack, "request_held_back", http.StatusServiceUnavailable, "Upstreams have crashed under this request, or under prompts that share a segment with it; it is sent to none.", "Change the request, or ask the service's operator; it may be tried after Retry-After."},
	{EntryFull, "entry_full", http.StatusServiceUnavailable, "The entry has no memory for the request beside those that it holds.", "Try again after Retry-After."},
	{DeadlinePassed, "deadline_passed", http.StatusGatewayTimeout, "The request's time passed before the answer was complete.", "Allow more time or shorten the request."},
	{UpstreamFailed, "upstream_failed", http.StatusBadGateway, "The upstream failed while it worked on the request.", "See X-Execution before trying again."},
	{UpstreamTimeout, "upstream_timeout", http.StatusGatewayTimeout, "The upstream did not answer in time.", "See X-Execution before trying again."},
	{AgentLost, "agent_lost", http.StatusBadGateway, "The process beside the upstream was lost during the call.", "See X-Execution before trying again."},
	{LinkSilent, "link_silent", http.StatusBadGateway, "The connection to the process beside the upstream went silent.", "See X-Execution before trying again."},
	{StreamBroken, "stream_broken", http.StatusBadGateway, "The answer could not be continued after a failure.", "Send the request again."},
	{UpstreamRejected, "upstream_rejected", http.StatusBadRequest, "The upstream refused the request.", "Correct what the message names."},
	{FirstRunLost, "first_run_lost", http.StatusConflict, "The first call with this Idempotency-Key was bound to a process that is gone or has forgotten it.", "Find out at the upstream whether the call ran."},
	{Cancelled, "cancelled", 499, "The call was cancelled.", "Nothing to do."},
	{AnswerTooLarge, "answer_too_large", http.StatusUnprocessableEntity, "The answer is larger than the entry holds of an answer that is not streamed.", "Ask for it streamed, or for a shorter one."},
	{UpstreamCrashed, "upstream_crashed", http.StatusBadGateway, "The upstream's process ended while it had the request.", "See X-Execution before trying again."},
	{TableUnavailable, "table_unavailable", http.StatusServiceUnavailable, "The platform's table service did not answer.", "Try again after Retry-After."},
	{TableOutcome, "table_outcome_unknown", http.StatusServiceUnavailable, "The table service's answer was lost and could not be settled in time.", "Read the state again before trying again."},
	{ObjectsUnavailable, "objects_unavailable", http.StatusServiceUnavailable, "The platform's object store did not answer.", "Try again after Retry-After."},
	{RevisionConflict, "revision_conflict", http.StatusPreconditionFailed, "The document changed since it was read.", "Read it again, apply the change to it and put it again."},
	{DocumentInvalid, "document_invalid", http.StatusBadRequest, "The document has the faults that the message lists.", "Correct every fault and put it again."},
	{DocumentStale, "document_stale", http.StatusServiceUnavailable, "The entry has been cut off from its configuration for too long.", "Try again; another entry will answer."},
	{Internal, "internal", http.StatusInternalServerError, "The system met a fault of its own.", "Report the request id."},
	{NotReady, "not_ready", http.StatusServiceUnavailable, "The entry is not ready.", "Try again; another entry will answer."},
}

var byCode = indexByCode()

func indexByCode() map[Code]Info {
	m := make(map[Code]Info, len(All))
	for _, info := range All {
		m[info.Code] = info
	}
	return m
}
