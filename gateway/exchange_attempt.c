/* One attempt of a request at a server: connects, sends the request, forwards the response to the caller and reports
   the result to the balancer and the quarantine. */
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "clock.h"
#include "exchange_internal.h"
#include "request_head.h"

#define PREFILL_RATE_LOG_FACTOR 1.25 /* change of the prefill rate that is logged */
#define UNSENT_MAX_BYTES 262144      /* unsent bytes to a caller above which its server is not read */
#define CALL_STALL_TARGET_SHARE 0.7  /* a call without a response is retried after this share of its target */
/* A stream without a first event is retried after this many targets plus this many times the predicted time to the
   first event. */
#define STREAM_STALL_TARGETS 2.0
#define STREAM_STALL_EXPECTED_FACTOR 1.5
#define DISCARDED_BYTES_MAX (1U << 20) /* of a response whose caller has left */
#define EVENT_STALL_GAPS 4 /* time without an event after which a stream is retried, as a multiple of its gap limit */
#define EVENT_STALL_MIN_MS 400
/* While no other server can be assigned to a stalled attempt, or this host has stood still itself. */
#define STALL_CHECK_INTERVAL_MS 100
#define RESTARTED_REASON "the server may have started again"
#define LEVEL_TEXT_MAX 12
#define PART_TEXT_MAX 18 /* id of a part in hex, with a comma */

cw_run_phase_t exchange_phase(const exchange_t* x) {
    if (x->has_first_byte) {
        return clock_ms() - x->attempt_first_ms >= START_MS ? CW_RUN_WRITING : CW_RUN_STARTED;
    }
    return x->response_framing == CW_FRAMING_NONE ? CW_RUN_WAITING : CW_RUN_BEGINNING;
}

/* Whether the request may be retried when the retry budget allows it. */
static bool is_retryable(const exchange_t* x) {
    return x->fsm.repeatable && x->fsm.attempts < x->fsm.max_attempts && (!x->is_head_sent || x->fsm.resumable);
}

bool exchange_may_retry(const exchange_t* x) {
    return is_retryable(x) && cw_retry_window_has_room(&x->pool->retries, clock_ms());
}

/* Sets the time at which an attempt without a response counts as stalled. */
static void arm_first_byte_timeout(exchange_t* x) {
    x->is_stalled = false;
    double target_ms = x->route->target_ms;
    double limit_ms = x->route->kind == CW_ROUTE_STREAM
                          ? STREAM_STALL_TARGETS * target_ms +
                                STREAM_STALL_EXPECTED_FACTOR * (x->choice.wait_ms + x->choice.prefill_ms)
                          : CALL_STALL_TARGET_SHARE * target_ms;
    x->stall_at_ms = is_retryable(x) ? x->sent_ms + (int64_t)limit_ms : 0;
    x->stall_due_ms = x->stall_at_ms;
}

static void arm_next_event_timeout(exchange_t* x) {
    int64_t gap_ms = (int64_t)x->route->gap_ms * EVENT_STALL_GAPS;
    gap_ms = gap_ms > EVENT_STALL_MIN_MS ? gap_ms : EVENT_STALL_MIN_MS;
    x->is_stalled = false;
    x->progress_ms = clock_ms();
    x->stall_at_ms = x->is_resumable_stream && is_retryable(x) ? x->progress_ms + gap_ms : 0;
    x->stall_due_ms = x->stall_at_ms;
}

/* Whether this host has not read from its servers since the attempt fell due: what was sent in time may wait. */
static bool may_have_unread(const exchange_t* x) {
    int64_t unread_ms = upstreams_unread_ms(x->exchanges->desc.upstreams);
    return unread_ms > STALL_CHECK_INTERVAL_MS && clock_ms() - unread_ms <= x->stall_due_ms;
}

void exchange_on_stall(exchange_t* x) {
    if (may_have_unread(x)) {
        x->stall_at_ms = clock_ms() + STALL_CHECK_INTERVAL_MS;
        exchange_set_timer(x);
        return;
    }
    if (exchange_find_replacement(x, true)) {
        x->silent_tried |= x->tried_count ? 1U << (x->tried_count - 1) : 0;
        exchange_fail_attempt(x, CW_EV_UPSTREAM_FAILED, CW_TRY_FAILED, "silent for too long");
        return;
    }
    x->is_stalled = is_retryable(x);
    x->stall_at_ms = x->is_stalled ? clock_ms() + STALL_CHECK_INTERVAL_MS : 0;
    exchange_set_timer(x);
}

static void send_request(exchange_t* x) {
    exchanges_t* e = x->exchanges;
    const cw_message_t* request = caller_request(x->caller);
    const cw_buffer_t* body = caller_body(x->caller);
    int64_t now_ms = clock_ms();
    int64_t left_ms = x->deadline_ms - now_ms;
    if (x->verdict.is_content_on_trial) {
        quarantine_on_trial(e->desc.quarantine, &x->suspects, x->server);
    }
    exchange_handle_event(x, CW_EV_SENDING);
    x->attempt_count++;
    e->stats.retries_sent += x->attempt_count > 1;
    x->has_reserved_retry = false;
    e->stats.sends++;
    x->sent_ms = x->progress_ms = now_ms;
    bool is_resuming = x->is_head_sent && x->events.last_id[0];
    e->stats.streams_resumed += is_resuming;
    request_head_t set = {.request_id = x->request_id,
                          .workspace = x->workspace ? x->workspace->name : NULL,
                          .server = x->server->published.id,
                          .fetch_from = x->fetch_from[0] ? x->fetch_from : NULL,
                          .last_event = is_resuming ? x->events.last_id : NULL,
                          .deadline_ms = left_ms > 1 ? (uint32_t)left_ms : 1,
                          .priority = x->work.urgency,
                          .has_priority = x->pool->slots > 0,
                          .body_size = body->size};
    cw_buffer_t head = {0};
    request_head_write(&head, e->desc.dialect, request, &set);
    bool is_bodiless = strcmp(request->method, "HEAD") == 0;
    if (request->framing == CW_FRAMING_CHUNKED) {
        cw_message_add_chunk(&head, cw_buffer_text(body), body->size);
        cw_message_add_last_chunk(&head);
        upstream_conn_send(x->conn, x->request_id, is_bodiless, &head, NULL, 0);
    } else {
        upstream_conn_send(x->conn, x->request_id, is_bodiless, &head, cw_buffer_text(body), body->size);
    }
    cw_buffer_free(&head);
    exchange_set_timer(x);
}

void exchange_keep_server_eligible(exchange_t* x) {
    bool is_in_tried = x->tried_count && x->tried[x->tried_count - 1] == x->server->key;
    x->tried_count -= is_in_tried;
    x->silent_tried &= (1U << x->tried_count) - 1;
}

/* Nothing has been sent yet, so the request can still avoid a server that has announced that it leaves or asked for a
   backoff while the connection was opened. */
static void reassign(exchange_t* x, const char* why) {
    exchange_keep_server_eligible(x);
    exchange_fail_attempt(x, CW_EV_GRANT_EXPIRED, CW_TRY_CANCELLED, why);
}

bool exchange_is_verdict_outdated(const exchange_t* x) {
    cw_verdict_t verdict = quarantine_check(x->exchanges->desc.quarantine, &x->suspects, x->pool);
    return verdict.kind >= CW_VERDICT_PENDING || (verdict.claims && !verdict.is_claimed);
}

/* Whether the stream must go on at the version of its server, and the process behind the connection may be of another.
 */
static bool may_join_versions(const exchange_t* x) {
    return x->work.version && upstream_conn_is_doubted(x->conn);
}

static void conn_on_open(void* owner) {
    exchange_t* x = owner;
    if (exchange_is_verdict_outdated(x)) {
        reassign(x, ON_TRIAL_REASON);
    } else if (x->server->is_retired) {
        reassign(x, "the server leaves");
    } else if (may_join_versions(x)) {
        reassign(x, RESTARTED_REASON);
    } else if (cw_balance_is_backing_off(x->pool->balance, clock_ms(), x->server->key)) {
        reassign(x, "the server wants rest");
    } else {
        send_request(x);
    }
}

/* The server reports that it did not run the request. */
static void handle_not_run(exchange_t* x, const cw_message_t* head) {
    bool is_misdirected = head->status == x->exchanges->desc.dialect->misdirected_status;
    if (is_misdirected) {
        cw_log(x->exchanges->desc.log, CW_EVENT_SERVER_LEAVES,
               "server=%s pool=%s reason=\"another server has its address\"", x->server_id, x->pool->name);
        upstreams_mark_retired(x->exchanges->desc.upstreams, clock_ms(), x->server);
    }
    x->retry_ms = cw_balance_throttle_wait_ms(x->pool->balance, clock_ms());
    exchange_fail_attempt(x, CW_EV_REJECTED, is_misdirected ? CW_TRY_CANCELLED : CW_TRY_FULL,
                          is_misdirected ? "another server has the address" : "the server has no room");
}

/* Whether the body is a stream of server-sent events. A stream's route vouches for servers that don't name the type. */
static bool is_event_stream(const exchange_t* x, const cw_message_t* head) {
    static const char type[] = "text/event-stream";
    const char* named = cw_message_field(head, "Content-Type");
    if (!named) {
        return x->route->kind == CW_ROUTE_STREAM && head->status / 100 == 2;
    }
    named += strspn(named, " \t");
    return strncasecmp(named, type, sizeof(type) - 1) == 0 && strchr("; \t", named[sizeof(type) - 1]);
}

/* Stores the head until the first body byte. Until then another server can still give the complete response. */
static void store_head(exchange_t* x, const cw_message_t* head) {
    cw_buffer_free(&x->head_fields);
    response_fields_write(&x->head_fields, head);
    x->head_framing = head->framing == CW_FRAMING_UNTIL_CLOSE ? CW_FRAMING_CHUNKED : head->framing;
    x->head_length = head->length;
    x->status = head->status;
    bool is_open_ended = x->head_framing == CW_FRAMING_CHUNKED && head->status / 100 == 2;
    x->fsm.resumable =
        x->route->kind == CW_ROUTE_STREAM && x->route->is_resumable && is_open_ended && x->is_event_stream;
    x->is_resumable_stream = x->fsm.resumable;
}

void exchange_send_head(exchange_t* x, caller_t* caller) {
    if (!x->is_head_sent) {
        x->is_head_sent = true;
        caller_begin_response(caller, x->status, cw_buffer_text(&x->head_fields), x->head_framing, x->head_length);
        cw_buffer_free(&x->head_fields);
    }
}

/* Whether the response can continue the one whose head the caller has. */
static bool continues_response(const exchange_t* x, const cw_message_t* head) {
    return head->status == x->status && (!x->is_resumable_stream || x->is_event_stream);
}

/* Whether the server rejects this request. A call that must not run twice needs its id as a proof that the rejection is
   not another request's; that the address belongs to another server holds for any request. */
static bool is_rejected(const exchange_t* x, const cw_message_t* head) {
    const dialect_t* dialect = x->exchanges->desc.dialect;
    bool is_proven = x->fsm.repeatable || cw_message_field(head, dialect->fields.request_id);
    return head->status == dialect->misdirected_status ||
           (is_proven && cw_message_field(head, dialect->fields.not_run));
}

static void conn_on_head(void* owner, const cw_message_t* head) {
    exchange_t* x = owner;
    const dialect_fields_t* f = &x->exchanges->desc.dialect->fields;
    if (is_rejected(x, head)) {
        handle_not_run(x, head);
        return;
    }
    bool is_signed = !f->signature || cw_message_field(head, f->signature);
    if (!is_signed || !cw_message_field(head, f->request_id)) {
        exchange_fail_attempt(x, CW_EV_UPSTREAM_FAILED, CW_TRY_FAILED,
                              "the answer lacks its signature or the request's id");
        return;
    }
    x->response_framing = head->framing;
    x->is_tunneled = upstream_conn_is_tunneled(x->conn);
    x->exchanges->stats.responses_unframed += head->framing == CW_FRAMING_UNTIL_CLOSE;
    x->is_event_stream = is_event_stream(x, head);
    x->is_server_error = head->status >= 500;
    if ((x->is_server_error && exchange_may_retry(x)) || (x->is_head_sent && !continues_response(x, head))) {
        exchange_fail_attempt(x, CW_EV_UPSTREAM_FAILED, CW_TRY_FAILED, "the server answered with a failure");
        return;
    }
    exchange_handle_event(x, CW_EV_RESPONSE_HEAD);
    if (x->caller && !x->is_head_sent) {
        store_head(x, head);
    }
}

/* Logs the pool's prefill rate, and the request that changed it, when it differs by PREFILL_RATE_LOG_FACTOR from the
   last one logged. */
static void log_prefill_rate(const exchange_t* x, int64_t now_ms) {
    pool_t* pool = x->pool;
    double prefill_ms = cw_balance_prefill_ms_per_token(pool->balance);
    double rate_change = pool->logged_prefill_ms > 0 ? prefill_ms / pool->logged_prefill_ms : INFINITY;
    if (!pool->slots || (rate_change < PREFILL_RATE_LOG_FACTOR && rate_change > 1 / PREFILL_RATE_LOG_FACTOR)) {
        return;
    }
    cw_log(x->exchanges->desc.log, CW_EVENT_PACE_LEARNED,
           "pool=%s read_us=%.1f was_us=%.1f id=%s server=%s prompt=%u fresh=%u wait_ms=%.0f took_ms=%lld", pool->name,
           prefill_ms * US_PER_MS, pool->logged_prefill_ms * US_PER_MS, x->id, x->server_id, x->work.prompt_tokens,
           x->run.uncached_tokens, x->run.backlog_ahead_ms, (long long)(now_ms - x->run.begun_ms));
    pool->logged_prefill_ms = prefill_ms;
}

/* Logs when the pool changes between the host's own and the shared forecast. */
static void log_forecast_change(const exchange_t* x) {
    pool_t* pool = x->pool;
    bool is_shared = cw_balance_is_forecast_shared(pool->balance);
    if (is_shared != pool->is_logged_shared) {
        pool->is_logged_shared = is_shared;
        cw_log(x->exchanges->desc.log, CW_EVENT_FORECAST_CHANGED, "pool=%s forecast=%s id=%s ratio=%.2f", pool->name,
               is_shared ? "shared" : "own", x->id, cw_balance_forecast_ratio(pool->balance, 0.5));
    }
}

static void handle_first_byte(exchange_t* x) {
    int64_t now_ms = clock_ms();
    x->has_first_byte = true;
    x->attempt_first_ms = now_ms;
    x->first_ms = x->first_ms ? x->first_ms : now_ms;
    bool was_suspected = cw_balance_on_first_byte(x->pool->balance, now_ms, &x->run);
    log_prefill_rate(x, now_ms);
    log_forecast_change(x);
    x->exchanges->desc.on_load_changed(x->exchanges->desc.user_data, x->server, NULL);
    if (was_suspected) {
        server_log_suspicion(x->server, now_ms, true, 0);
        x->exchanges->desc.on_liveness_changed(x->exchanges->desc.user_data, x->server);
    }
}

static bool is_version_known(const exchange_t* x) {
    bool is_listed_still = cw_server_version_id(&x->server->published) == x->server_version;
    return is_listed_still && !upstream_conn_is_doubted(x->conn);
}

/* A version that no server has, so that the stream is resumed nowhere. The pool's other streams may be of it. */
static uint64_t unknown_version(const exchange_t* x) {
    static const char name[] = "unknown";
    cw_pool_versions_learn(&x->pool->versions, clock_ms(), cw_mix(x->pool->id, cw_name_id(name)), 0);
    return cw_mix(x->stream, cw_name_id(name));
}

/* The first event binds a stream to the version of its server: attempts that resume it need servers of that version. */
static void bind_version(exchange_t* x) {
    if (x->is_version_bound || !x->stream || !x->is_event_stream || x->status / 100 != 2) {
        return;
    }
    x->is_version_bound = true;
    x->work.version = is_version_known(x) ? x->server_version : unknown_version(x);
    x->work.begins_stream = false;
    streams_on_first_event(x->exchanges->desc.streams, x->pool, x->stream, x->work.version, x->deadline_ms);
}

/* The caller left a request that may not be cancelled. Its response shows that it has run; what follows is read only as
   far as it makes the connection usable again. */
static void discard_body(exchange_t* x, size_t size) {
    x->discarded_bytes += size;
    if (x->discarded_bytes > DISCARDED_BYTES_MAX) {
        exchange_fail_attempt(x, CW_EV_UPSTREAM_FAILED, CW_TRY_CANCELLED, "the caller left a long response");
    }
}

static void forward_body(exchange_t* x, const char* data, size_t size) {
    if (!x->caller) {
        discard_body(x, size);
        return;
    }
    if (!size) {
        return;
    }
    bind_version(x);
    int64_t now_ms = clock_ms();
    uint32_t gap_ms = x->last_byte_ms ? (uint32_t)(now_ms - x->last_byte_ms) : 0;
    x->gap_ms = gap_ms > x->gap_ms ? gap_ms : x->gap_ms;
    x->last_byte_ms = now_ms;
    exchange_send_head(x, x->caller);
    caller_write(x->caller, data, size);
    exchange_handle_event(x, CW_EV_BODY_FORWARDED);
    if (caller_unsent_bytes(x->caller) > UNSENT_MAX_BYTES) {
        upstream_conn_pause(x->conn, true);
    }
}

void exchange_report_survival(const exchange_t* x) {
    quarantine_on_response_started(x->exchanges->desc.quarantine, &x->suspects, x->server, x->attempt_first_ms);
}

static void conn_on_body(void* owner, const char* data, size_t size) {
    exchange_t* x = owner;
    /* As the connection opened, ends of others may not have been read yet that had arrived before. */
    if (!x->has_first_byte && may_join_versions(x)) {
        exchange_fail_attempt(x, CW_EV_UPSTREAM_FAILED, CW_TRY_CANCELLED, RESTARTED_REASON);
        return;
    }
    if (!x->has_survived_start && exchange_phase(x) == CW_RUN_WRITING) {
        x->has_survived_start = true;
        exchange_report_survival(x);
    }
    if (!x->has_first_byte) {
        handle_first_byte(x);
    } else if (x->route->kind == CW_ROUTE_STREAM) {
        cw_balance_on_event(x->pool->balance, clock_ms(), &x->run);
    }
    if (!x->is_resumable_stream) {
        if (x->is_event_stream) {
            cw_sse_track(&x->events, data, size);
        }
        forward_body(x, data, size);
        return;
    }
    cw_sse_feed(&x->events, data, size);
    if (x->events.has_overflowed) {
        exchange_fail_attempt(x, CW_EV_UPSTREAM_FAILED, CW_TRY_FAILED, "an event is too long");
        return;
    }
    for (cw_bytes_view_t events = cw_sse_take(&x->events); events.size; events = cw_sse_take(&x->events)) {
        forward_body(x, events.data, events.size);
    }
    x->fsm.resumable = cw_sse_can_resume(&x->events);
    arm_next_event_timeout(x);
    exchange_set_timer(x);
}

/* Whether the server is presumed to have crashed while it ran the request. A leaving server may close connections with
   running requests, and a lost network path says nothing about the server. */
static bool is_presumed_crash(const exchange_t* x, upstream_conn_failure_t failure) {
    bool is_sent = x->fsm.state != CW_REQ_CONNECTING;
    return is_sent && (failure == UPSTREAM_CONN_RESET || failure == UPSTREAM_CONN_CLOSED) && !x->server->is_retired;
}

/* The connection broke after the request had been sent. */
static void handle_broken_response(exchange_t* x, upstream_conn_failure_t failure, const char* reason) {
    x->suspects.claim = 0;
    if (is_presumed_crash(x, failure)) {
        quarantine_on_crash(x->exchanges->desc.quarantine, &x->suspects, exchange_phase(x), x->server);
    }
    cw_try_result_t result = failure == UPSTREAM_CONN_MALFORMED       ? CW_TRY_FAILED
                             : failure == UPSTREAM_CONN_TUNNEL_BROKEN ? CW_TRY_CANCELLED
                                                                      : CW_TRY_BROKEN;
    if (failure == UPSTREAM_CONN_TUNNEL_BROKEN) {
        exchange_keep_server_eligible(x);
    }
    exchange_fail_attempt(x, CW_EV_UPSTREAM_FAILED, result, reason);
}

/* Whether the end of the connection, which ended the response, may be taken for the end of its body. */
static bool is_end_plausible(const exchange_t* x) {
    bool ends_with_connection = x->response_framing == CW_FRAMING_UNTIL_CLOSE;
    return !ends_with_connection || !x->is_event_stream || cw_sse_ends_after_event(&x->events);
}

static void conn_on_complete(void* owner) {
    exchange_t* x = owner;
    if (!is_end_plausible(x)) {
        handle_broken_response(x, UPSTREAM_CONN_CLOSED, "the stream ended within an event");
        return;
    }
    if (x->is_resumable_stream) {
        cw_bytes_view_t rest = cw_sse_take_rest(&x->events);
        if (cw_sse_is_behind(&x->events)) {
            exchange_fail_attempt(x, CW_EV_UPSTREAM_FAILED, CW_TRY_FAILED,
                                  "the stream ended before the event that it was to go on after");
            return;
        }
        forward_body(x, rest.data, rest.size);
    }
    x->result = x->is_server_error ? CW_TRY_FAILED : CW_TRY_SERVED;
    quarantine_on_response(x->exchanges->desc.quarantine, &x->suspects, x->pool,
                           x->has_first_byte ? x->attempt_first_ms : clock_ms());
    upstream_conn_release(x->conn);
    x->conn = NULL;
    exchange_handle_event(x, CW_EV_RESPONSE_END);
}

static void conn_on_broken(void* owner, upstream_conn_failure_t failure) {
    exchange_t* x = owner;
    static const char* const reasons[] = {"no connection",         "reset",         "nothing acknowledged",
                                          "closed before the end", "not an answer", "the tunnel broke"};
    x->conn = NULL;
    if (failure == UPSTREAM_CONN_UNREACHABLE) {
        server_log_unreachable(x->server, clock_ms());
        exchange_fail_attempt(x, CW_EV_CONNECT_FAILED, CW_TRY_UNREACHABLE, reasons[failure]);
    } else if (x->fsm.state == CW_REQ_CONNECTING) {
        exchange_fail_attempt(x, CW_EV_CONNECT_FAILED, CW_TRY_CANCELLED, reasons[failure]);
    } else {
        handle_broken_response(x, failure, reasons[failure]);
    }
}

static const upstream_conn_handlers_t conn_handlers = {.on_open = conn_on_open,
                                                       .on_head = conn_on_head,
                                                       .on_body = conn_on_body,
                                                       .on_complete = conn_on_complete,
                                                       .on_broken = conn_on_broken};

/* Counts an attempt that was placed, and writes its level for the log, "-" if it was not placed. */
static void record_placement(pool_t* pool, const cw_choice_t* choice, char* text, size_t size) {
    if (!choice->is_placed) {
        cw_copy(text, size, "-");
        return;
    }
    pool->placed[choice->level < PLACEMENT_LEVELS ? choice->level : PLACEMENT_LEVELS - 1]++;
    snprintf(text, size, "%u", choice->level);
}

/* Writes the ids of the prompt's parts for the log, "-" if it has none. */
static void format_parts(const cw_work_t* work, char* text, size_t size) {
    size_t n = 0;
    cw_copy(text, size, "-");
    for (uint32_t i = 0; i < work->part_count && n < size; i++) {
        n += (size_t)snprintf(text + n, size - n, "%s%llx", i ? "," : "", (unsigned long long)work->parts[i].id);
    }
}

void exchange_start_attempt(exchange_t* x) {
    exchanges_t* e = x->exchanges;
    const cw_choice_t* choice = &x->choice;
    int64_t now_ms = clock_ms();
    x->run = cw_balance_begin(x->pool->balance, now_ms, choice->server, &x->work);
    x->server = upstreams_server(e->desc.upstreams, x->run.id);
    cw_copy(x->server_id, sizeof(x->server_id), x->server->published.id);
    x->server_version = cw_server_version_id(&x->server->published);
    const server_t* cache_holder =
        choice->fetch_source ? upstreams_server(e->desc.upstreams, choice->fetch_source) : NULL;
    cw_copy(x->fetch_from, sizeof(x->fetch_from), cache_holder ? cache_holder->published.address : "");
    x->has_first_byte = x->has_survived_start = x->is_server_error = x->is_tunneled = false;
    x->response_framing = CW_FRAMING_NONE;
    x->silent_tried = x->returns_to_silent ? 0 : x->silent_tried;
    x->returns_to_silent = false;
    x->sent_ms = 0;
    x->reason = "";
    x->result = CW_TRY_CANCELLED;
    if (x->tried_count < TRIED_SERVERS_MAX) {
        x->tried[x->tried_count++] = x->server->key;
    }
    char level[LEVEL_TEXT_MAX];
    char parts[CW_PROMPT_PARTS * PART_TEXT_MAX];
    record_placement(x->pool, choice, level, sizeof(level));
    format_parts(&x->work, parts, sizeof(parts));
    cw_log(e->desc.log, x->attempt_count ? CW_EVENT_REQUEST_RETRIED : CW_EVENT_REQUEST_SENT,
           "id=%s fingerprint=%016llx parts=%s server=%s version=%s route=%s revision=%lld priority=%u urgency=%u "
           "candidates=%u "
           "cost_ms=%.0f "
           "wait_ms=%.0f "
           "read_ms=%.0f prompt=%u kept=%u moved=%u again=%u running=%u streaming=%u pace=%.2f pace_us=%.1f "
           "gap_forecast_ms=%.0f level=%s age_ms=%u waited_ms=%lld "
           "last_event=%s resumes=%s",
           x->id, (unsigned long long)x->suspects.items[0].content_hash, parts, x->server_id,
           x->server->published.version[0] ? x->server->published.version : "-", x->route->name,
           (long long)x->catalog->revision, x->priority, x->work.urgency, choice->candidates, choice->cost_ms,
           choice->wait_ms, choice->prefill_ms, x->work.prompt_tokens, choice->cached_tokens, choice->fetched_tokens,
           choice->recomputed_tokens, choice->running, choice->streaming, choice->interval_ratio,
           choice->pace_ms * US_PER_MS, choice->gap_forecast_ms, level, choice->age_ms,
           (long long)(now_ms - x->arrived_ms), x->events.last_id[0] ? x->events.last_id : "-",
           x->resumes[0] ? x->resumes : "-");
    x->sent_ms = x->progress_ms = now_ms;
    x->expected_ms = (double)(now_ms - x->arrived_ms) + choice->first_event_ms;
    arm_first_byte_timeout(x);
    e->desc.on_load_changed(e->desc.user_data, x->server, &x->work);
    x->conn = upstream_conn_acquire(x->server, &conn_handlers, x, !x->fsm.repeatable);
    if (!x->conn) {
        exchange_fail_attempt(x, CW_EV_CONNECT_FAILED, CW_TRY_FULL, "no connection may be had");
    } else if (upstream_conn_is_open(x->conn)) {
        send_request(x);
    } else {
        exchange_set_timer(x);
    }
}
