#include "exchange_internal.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admission.h"
#include "clock.h"
#include "request_head.h"

#define RETRY_AFTER_MIN_MS 300    /* shortest Retry-After of a refusal */
#define RETRY_AFTER_SPREAD_MS 500 /* random part, so that refused callers do not return at the same time */
#define STOPPING_RETRY_AFTER_MS 1 /* other hosts take the request at once */
#define STARTUP_GRACE_MS 500      /* a process without a configuration for longer treats its source as unavailable */
#define DETACHED_TIMEOUT_MS 2000  /* time for a detached request, which can't be retried, to complete */

static void run_actions(exchange_t* x, uint32_t actions);

static uint64_t next_random(exchanges_t* e) {
    return cw_mix(e->desc.seed, ++e->random_count);
}

/* -- error responses ------------------------------------------------------- */

/* Sends a short JSON response with the request's id. retry_ms 0: without Retry-After. */
static void reply_error(exchanges_t* e, caller_t* caller, unsigned status, const char* id, const char* why,
                        uint32_t retry_ms) {
    const dialect_fields_t* f = &e->desc.dialect->fields;
    cw_buffer_t fields = {0};
    char body[256];
    if (id[0]) {
        cw_message_add_field(&fields, f->request_id, id);
    }
    if (retry_ms) {
        cw_message_add_text(&fields, "%s: %.3f\r\n", f->retry_after, retry_ms / MS_PER_S);
    }
    cw_message_add_field(&fields, "Content-Type", "application/json");
    int size = snprintf(body, sizeof(body), "{\"error\":\"%s\",\"status\":%u}", why, status);
    caller_reply(caller, status, fields.data, body, (size_t)size);
    cw_buffer_free(&fields);
}

/* -- lifetime -------------------------------------------------------------- */

static void exchange_free(exchange_t* x) {
    exchanges_t* e = x->exchanges;
    ev_timer_stop(e->desc.loop, &x->timer);
    exchange_dequeue(x);
    if (x->prev) {
        x->prev->next = x->next;
    } else {
        e->list = x->next;
    }
    if (x->next) {
        x->next->prev = x->prev;
    }
    e->stats.active--;
    cw_sse_free(&x->events);
    cw_buffer_free(&x->head_fields);
    cw_catalog_release(x->catalog);
    free(x->request_id);
    free(x);
}

const char* exchange_begun_name(const exchange_t* x) {
    return x->is_head_sent ? "yes" : "no";
}

static const char* const outcome_names[EXCHANGE_OUTCOME_COUNT] = {"served", "denied", "refused", "failed", "gone"};

/* Logs the end of a request and reports it to on_done. */
static void report_done(exchange_t* x, exchange_outcome_t outcome, const char* why) {
    exchanges_t* e = x->exchanges;
    int64_t now_ms = clock_ms();
    uint32_t first_ms = x->first_ms ? (uint32_t)(x->first_ms - x->arrived_ms) : 0;
    e->stats.outcomes[outcome]++;
    cw_log(e->desc.log, CW_EVENT_REQUEST_DONE,
           "id=%s outcome=%s status=%u why=\"%s\" route=%s workspace=%s revision=%lld server=%s transfers=%u "
           "urgency=%u expected_ms=%.0f first_ms=%u gap_ms=%u took_ms=%lld left_ms=%lld begun=%s framing=%s path=%s "
           "run=%s",
           x->id, outcome_names[outcome], x->status, why, x->route->name, x->workspace ? x->workspace->name : "-",
           (long long)x->catalog->revision, x->server_id[0] ? x->server_id : "-", x->attempt_count, x->work.urgency,
           x->expected_ms, first_ms, x->gap_ms, (long long)(now_ms - x->arrived_ms),
           (long long)(x->deadline_ms - now_ms), exchange_begun_name(x), cw_framing_name(x->response_framing),
           x->is_tunneled ? "tunnel" : "direct", cw_outcome_name(cw_request_outcome(&x->fsm)));
    if (e->desc.on_done) {
        e->desc.on_done(e->desc.user_data, x->route->name, x->workspace ? x->workspace->name : "-", outcome, first_ms,
                        (uint32_t)(now_ms - x->arrived_ms));
    }
}

/* -- deadlines ------------------------------------------------------------- */

void exchange_set_timer(exchange_t* x) {
    int64_t due_ms = x->deadline_ms;
    int64_t wait_ms = x->work.is_late ? x->wait.until_ms : x->wait.late_from_ms;
    if (x->is_queued && wait_ms < due_ms) {
        due_ms = wait_ms;
    }
    if (x->verdict_due_ms && x->verdict_due_ms < due_ms) {
        due_ms = x->verdict_due_ms;
    }
    if (x->stream_due_ms && x->stream_due_ms < due_ms) {
        due_ms = x->stream_due_ms;
    }
    if (x->conn && x->stall_at_ms && x->stall_at_ms < due_ms) {
        due_ms = x->stall_at_ms;
    }
    int64_t left_ms = due_ms - clock_ms();
    ev_timer_stop(x->exchanges->desc.loop, &x->timer);
    ev_timer_set(&x->timer, left_ms > 0 ? (double)left_ms / MS_PER_S : 0.0, 0.0);
    ev_timer_start(x->exchanges->desc.loop, &x->timer);
}

/* When the server that replaced a silent one fails, the silent one may still be sound. If no attempt is left, the
   request may return there: that server counts among those that it has tried already. */
static void allow_return_to_silent(exchange_t* x) {
    if (x->silent_tried && !x->returns_to_silent && x->fsm.attempts >= x->fsm.max_attempts) {
        x->fsm.attempts--;
        x->returns_to_silent = true;
    }
}

void exchange_fail_attempt(exchange_t* x, cw_request_event_t e, cw_try_result_t result, const char* reason) {
    int64_t now_ms = clock_ms();
    x->result = result;
    x->reason = reason;
    cw_log(x->exchanges->desc.log, CW_EVENT_UPSTREAM_FAILED,
           "id=%s step=%s server=%s life=%016llx peer=%s reason=\"%s\" sent_ms_ago=%lld body_ms_ago=%lld "
           "begun=%s fingerprint=%016llx links=%u",
           x->id, cw_request_state_name(x->fsm.state), x->server_id, (unsigned long long)x->server->key,
           x->server->published.address, reason, x->sent_ms ? (long long)(now_ms - x->sent_ms) : -1LL,
           x->has_first_byte ? (long long)(now_ms - x->attempt_first_ms) : -1LL, exchange_begun_name(x),
           (unsigned long long)x->suspects.items[0].content_hash, x->server->conn_count);
    if (e == CW_EV_UPSTREAM_FAILED) {
        allow_return_to_silent(x);
    }
    exchange_handle_event(x, e);
}

/* Handles the deadline that has passed, if any, and sets the timer for the next one. May free the exchange. */
static void handle_due(exchange_t* x) {
    int64_t now_ms = clock_ms();
    if (now_ms >= x->deadline_ms && x->fsm.state == CW_REQ_DETACHED) {
        exchange_fail_attempt(x, CW_EV_UPSTREAM_FAILED, CW_TRY_FAILED, "no answer long after its time");
    } else if (now_ms >= x->deadline_ms) {
        x->reason = "time is up";
        x->result = CW_TRY_CANCELLED;
        if (x->conn && !x->has_first_byte) {
            x->result = CW_TRY_FAILED;
        }
        exchange_handle_event(x, CW_EV_DEADLINE);
    } else if ((x->verdict_due_ms && now_ms >= x->verdict_due_ms) || (x->stream_due_ms && now_ms >= x->stream_due_ms)) {
        exchange_assign_server(x);
    } else if (x->is_queued && now_ms >= x->wait.until_ms) {
        exchange_refuse(x, "no place came free in time");
    } else if (x->is_queued && !x->work.is_late && now_ms >= x->wait.late_from_ms) {
        exchange_requeue_late(x);
    } else if (x->conn && x->stall_at_ms && now_ms >= x->stall_at_ms) {
        exchange_on_stall(x);
    } else {
        exchange_set_timer(x);
    }
}

static void on_timer(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    handle_due(w->data);
}

/* -- actions of the state machine ------------------------------------------ */

static void release_server(exchange_t* x) {
    pool_t* pool = x->pool;
    server_t* server = x->server;
    if (x->run.server == CW_BALANCE_NONE) {
        return;
    }
    int64_t now_ms = clock_ms();
    bool was_suspected = cw_balance_is_suspected(pool->balance, now_ms, server->key);
    cw_balance_end(pool->balance, now_ms, &x->run, x->result);
    x->exchanges->desc.on_load_changed(x->exchanges->desc.user_data, server, NULL);
    bool is_lost = x->result == CW_TRY_BROKEN || x->result == CW_TRY_UNREACHABLE;
    if (is_lost) {
        server_log_suspicion(server, now_ms, was_suspected, 0);
    }
    /* With a limit on rejections, hosts wait for each slot and must know at once that it is free or was not. */
    if (is_lost || cw_balance_has_reject_limit(pool->balance, now_ms, server->key)) {
        x->exchanges->desc.on_liveness_changed(x->exchanges->desc.user_data, server);
    }
}

static void abort_attempt(exchange_t* x) {
    if (x->conn) {
        upstream_conn_close(x->conn);
        x->conn = NULL;
    }
    cw_sse_restart(&x->events);
}

static uint32_t retry_after_ms(exchange_t* x) {
    return x->retry_ms + RETRY_AFTER_MIN_MS + (uint32_t)(next_random(x->exchanges) % RETRY_AFTER_SPREAD_MS);
}

/* Completes the caller's response, or sends an error that claims no more than is known about the run. */
static void send_outcome(exchange_t* x) {
    exchanges_t* e = x->exchanges;
    caller_t* caller = x->caller;
    cw_outcome_t outcome = cw_request_outcome(&x->fsm);
    const char* why = x->reason && x->reason[0] ? x->reason : "-";
    x->caller = NULL;
    if (!caller) {
        return;
    }
    if (outcome == CW_OUTCOME_DELIVERED) {
        report_done(x, EXCHANGE_SERVED, why);
        exchange_send_head(x, caller);
        caller_end_response(caller, true);
    } else if (x->is_head_sent) {
        report_done(x, EXCHANGE_FAILED, why);
        caller_end_response(caller, false);
    } else if (outcome == CW_OUTCOME_NOT_RUN) {
        x->status = 503;
        report_done(x, EXCHANGE_REFUSED, why);
        reply_error(e, caller, 503, x->request_id, why, retry_after_ms(x));
    } else {
        x->status = clock_ms() >= x->deadline_ms ? 504 : 502;
        report_done(x, EXCHANGE_FAILED, why);
        reply_error(e, caller, x->status, x->request_id, why, 0);
    }
}

static void run_actions(exchange_t* x, uint32_t actions) {
    if (actions & CW_DO_ABORT) {
        abort_attempt(x);
    }
    pool_t* freed = actions & CW_DO_RELEASE_SLOT ? x->pool : NULL;
    exchanges_t* e = x->exchanges;
    if (freed) {
        release_server(x);
    }
    if (actions & CW_DO_CANCEL_SLOT_REQUEST) {
        exchange_dequeue(x);
    }
    if (actions & CW_DO_RESPOND) {
        send_outcome(x);
    }
    if (x->fsm.state == CW_REQ_ENDED) {
        exchange_free(x);
    } else if (actions & CW_DO_REQUEST_SLOT) {
        exchange_assign_server(x);
    } else if (x->fsm.state == CW_REQ_DETACHED) {
        x->deadline_ms = clock_ms() + DETACHED_TIMEOUT_MS;
        exchange_set_timer(x);
    }
    if (freed && e->queue) {
        exchanges_on_slot_free(e, freed);
    }
}

void exchange_handle_event(exchange_t* x, cw_request_event_t e) {
    x->fsm.is_retry_allowed = cw_retry_window_has_room(&x->pool->retries, clock_ms());
    uint32_t actions = cw_request_event(&x->fsm, e);
    if (actions || x->fsm.state == CW_REQ_ENDED) {
        run_actions(x, actions);
    }
}

/* -- callers --------------------------------------------------------------- */

static void deny(exchanges_t* e, caller_t* caller, unsigned status, const char* id, const char* why) {
    const cw_message_t* m = caller_request(caller);
    e->stats.outcomes[EXCHANGE_DENIED]++;
    cw_log(e->desc.log, CW_EVENT_REQUEST_DENIED, "id=%.*s status=%u why=\"%s\" target=%.60s revision=%lld",
           REQUEST_ID_LOG_MAX - 1, id, status, why, m->target, e->catalog ? (long long)e->catalog->revision : 0LL);
    reply_error(e, caller, status, id, why, 0);
}

/* The whole body has been read, so the request can be identified before it is sent to any server. */
static cw_fingerprint_t fingerprint_of(caller_t* caller, const cw_catalog_workspace_t* workspace) {
    const cw_message_t* m = caller_request(caller);
    const cw_buffer_t* body = caller_body(caller);
    return cw_fingerprint(workspace ? cw_name_id(workspace->name) : 0,
                          &(cw_fingerprint_parts_t){.method = m->method,
                                                    .host = cw_message_field(m, "Host"),
                                                    .target = m->target,
                                                    .body = body->data,
                                                    .size = body->size});
}

/* Sets what a resumable stream needs to be resumed at the version that began it. */
static void init_stream(exchange_t* x) {
    const dialect_t* dialect = x->exchanges->desc.dialect;
    const cw_message_t* m = caller_request(x->caller);
    if (x->route->kind != CW_ROUTE_STREAM || !x->route->is_resumable) {
        return;
    }
    const char* resumes = request_resumes(dialect, m);
    cw_copy(x->resumes, sizeof(x->resumes), resumes);
    const char* last_event = cw_message_field(m, dialect->fields.last_event);
    /* An empty id alone is that of a caller that has received no event. */
    x->is_resumed_by_caller = last_event && (last_event[0] || resumes[0]);
    x->work.begins_stream = !x->is_resumed_by_caller;
    x->stream_run = request_run_read(dialect, m);
    x->stream_inquiry_id = cw_mix(x->exchanges->desc.seed, ++x->exchanges->random_count);
    x->stream = streams_id(x->workspace ? cw_name_id(x->workspace->name) : 0,
                           x->is_resumed_by_caller ? resumes : x->request_id);
}

static char* copy_text(const char* text) {
    char* copy = strdup(text);
    if (!copy) {
        abort();
    }
    return copy;
}

/* id: names the request in the log. */
static exchange_t* exchange_new(exchanges_t* e, caller_t* caller, const admission_t* admission, const char* id) {
    exchange_t* x = calloc(1, sizeof(*x));
    if (!x) {
        abort();
    }
    const char* sent_id = cw_message_field(caller_request(caller), e->desc.dialect->fields.request_id);
    const cw_route_t* route = admission->route;
    bool is_stream = route->kind == CW_ROUTE_STREAM;
    x->exchanges = e;
    x->caller = caller;
    x->request_id = copy_text(sent_id ? sent_id : id);
    cw_copy(x->id, sizeof(x->id), id);
    x->catalog = cw_catalog_retain(e->catalog);
    x->route = route;
    x->workspace = admission->workspace;
    x->suspects = (cw_suspects_t){.count = 1, .items = {fingerprint_of(caller, x->workspace)}};
    request_suspects_read(&x->suspects, e->desc.dialect, caller_request(caller));
    x->arrived_ms = clock_ms();
    x->checked_at_resume = e->resume_count;
    x->deadline_ms = x->arrived_ms + admission->time_limit_ms;
    x->priority = admission->priority;
    x->run.server = CW_BALANCE_NONE;
    x->fsm = cw_request_new(&(cw_request_desc_t){.repeatable = admission->repeatable,
                                                 .resumable = is_stream && route->is_resumable,
                                                 .cancel_on_caller_close = is_stream,
                                                 .counts_sent_only = true,
                                                 .max_attempts = route->attempts});
    x->work = (cw_work_t){.urgency = cw_urgency_level(admission->urgency),
                          .target_ms = route->target_ms,
                          .gap_ms = route->gap_ms,
                          .repeatable = admission->repeatable};
    init_stream(x);
    request_work_read(&x->work, e->desc.dialect, caller_request(caller));
    ev_timer_init(&x->timer, on_timer, 0.0, 0.0);
    x->timer.data = x;
    x->next = e->list;
    if (e->list) {
        e->list->prev = x;
    }
    e->list = x;
    e->stats.active++;
    caller_set_data(caller, x);
    return x;
}

/* Whether the startup grace period has passed; called when there is no configuration. */
static bool is_source_unavailable(const exchanges_t* e) {
    return clock_ms() - e->setup_ms > (e->desc.startup_grace_ms ? e->desc.startup_grace_ms : STARTUP_GRACE_MS);
}

/* Refuses a request before any of it has been handled. */
static void refuse_on_arrival(exchanges_t* e, caller_t* caller, const char* id, const char* why, uint32_t retry_ms) {
    e->stats.outcomes[EXCHANGE_REFUSED]++;
    cw_log(e->desc.log, CW_EVENT_REQUEST_DENIED, "id=%.*s status=503 why=\"%s\" revision=%lld", REQUEST_ID_LOG_MAX - 1,
           id, why, e->catalog ? (long long)e->catalog->revision : 0LL);
    reply_error(e, caller, 503, id, why, retry_ms);
}

/* Whether the process may exit while the request runs, although its caller could not repeat it. */
static bool may_outlast_process(const exchanges_t* e, const admission_t* admission) {
    return e->exit_ms && !admission->repeatable && clock_ms() + admission->time_limit_ms > e->exit_ms;
}

void exchanges_on_request(exchanges_t* e, caller_t* caller) {
    const cw_message_t* m = caller_request(caller);
    const char* id = cw_message_field(m, e->desc.dialect->fields.request_id);
    char generated_id[24];
    if (!id || !id[0]) {
        snprintf(generated_id, sizeof(generated_id), "%016llx", (unsigned long long)next_random(e));
        id = generated_id;
    }
    if (!e->catalog) {
        uint32_t retry_ms =
            admission_unconfigured_retry_ms(e->desc.dialect, m, is_source_unavailable(e), next_random(e));
        refuse_on_arrival(e, caller, id, "no configuration", retry_ms);
        return;
    }
    admission_t admission = admission_check(e->desc.dialect, e->catalog, m);
    if (admission.status) {
        deny(e, caller, admission.status, id, admission.why);
        return;
    }
    if (may_outlast_process(e, &admission)) {
        refuse_on_arrival(e, caller, id, "this host is stopping", STOPPING_RETRY_AFTER_MS);
        return;
    }
    exchange_t* x = exchange_new(e, caller, &admission, id);
    const cw_catalog_pool_t* pool = cw_catalog_choose_pool(e->catalog, admission.route, next_random(e));
    x->pool = upstreams_pool(e->desc.upstreams, pool->name);
    assert(x->pool); /* upstreams_set_catalog has created the pools of this catalog */
    x->pool->has_resumable_streams = x->pool->has_resumable_streams || x->stream;
    cw_retry_window_on_first_attempt(&x->pool->retries, x->arrived_ms);
    cw_balance_on_request(x->pool->balance, x->arrived_ms, &x->work);
    exchange_handle_event(x, CW_EV_START);
}

void exchanges_on_caller_closed(exchanges_t* e, caller_t* caller) {
    (void)e;
    exchange_t* x = caller_data(caller);
    if (!x) {
        return;
    }
    x->caller = NULL;
    x->result = CW_TRY_CANCELLED;
    x->reason = "the caller left";
    report_done(x, EXCHANGE_CANCELLED, x->reason);
    exchange_handle_event(x, CW_EV_CALLER_CLOSED);
}

void exchanges_on_drained(exchanges_t* e, caller_t* caller) {
    (void)e;
    exchange_t* x = caller_data(caller);
    if (x && x->conn) {
        upstream_conn_pause(x->conn, false);
    }
}

/* -- setup ---------------------------------------------------------------- */

exchanges_t* exchanges_setup(const exchanges_desc_t* desc) {
    exchanges_t* e = calloc(1, sizeof(*e));
    if (!e) {
        abort();
    }
    e->desc = *desc;
    e->setup_ms = clock_ms();
    return e;
}

void exchanges_set_catalog(exchanges_t* e, cw_catalog_t* catalog) {
    cw_catalog_t* previous = e->catalog;
    e->catalog = cw_catalog_retain(catalog);
    cw_catalog_release(previous);
}

/* An exchange that waits or runs and whose verdict has not been checked since the last change. The list is searched
   again after each one, because ending an exchange may free others. */
static exchange_t* next_unjudged(const exchanges_t* e) {
    exchange_t* x = e->list;
    while (x && (x->checked_at_change == e->verdict_change_count || !(x->is_queued || x->conn || x->verdict_due_ms))) {
        x = x->next;
    }
    return x;
}

/* Ends the attempt of a request that is quarantined now, or that waits at its server while another request with the
   same part is on trial. A response that has been written for a while proves the parts of its prompt harmless, also
   those that are quarantined. */
static void check_running_attempt(exchange_t* x) {
    quarantine_t* quarantine = x->exchanges->desc.quarantine;
    cw_verdict_t verdict = quarantine_check(quarantine, &x->suspects, x->pool);
    if (verdict.kind == CW_VERDICT_QUARANTINED && x->has_survived_start) {
        exchange_report_survival(x); /* the crashes may have become known later */
        verdict = quarantine_check(quarantine, &x->suspects, x->pool);
    }
    bool is_part = cw_fingerprint_is_part(&verdict.suspect);
    bool has_survived = is_part && exchange_phase(x) == CW_RUN_WRITING;
    bool is_waiting = x->fsm.state == CW_REQ_SENT && exchange_phase(x) == CW_RUN_WAITING;
    bool must_wait = verdict.kind == CW_VERDICT_PENDING && is_part;
    if (verdict.kind == CW_VERDICT_QUARANTINED && !has_survived) {
        exchange_fail_attempt(x, CW_EV_UPSTREAM_FAILED, CW_TRY_CANCELLED, QUARANTINED_REASON);
    } else if (must_wait && is_waiting && exchange_may_retry(x)) {
        exchange_keep_server_eligible(x);
        exchange_fail_attempt(x, CW_EV_UPSTREAM_FAILED, CW_TRY_CANCELLED, ON_TRIAL_REASON);
    }
}

void exchanges_on_verdicts_changed(exchanges_t* e) {
    e->verdict_change_count++;
    for (exchange_t* x = next_unjudged(e); x; x = next_unjudged(e)) {
        x->checked_at_change = e->verdict_change_count;
        if (x->conn) {
            check_running_attempt(x);
        } else if (!x->verdict_due_ms) {
            exchange_check_quarantine(x);
        } else if (!x->suspects.claim) {
            exchange_assign_server(x); /* it may have been waiting for this change */
        }
    }
}

static exchange_t* find_unresolved(const exchanges_t* e, uint64_t stream) {
    exchange_t* x = e->list;
    while (x && !(x->stream == stream && x->stream_due_ms)) {
        x = x->next;
    }
    return x;
}

void exchanges_on_stream_resolved(exchanges_t* e, uint64_t stream) {
    for (exchange_t* x = find_unresolved(e, stream); x; x = find_unresolved(e, stream)) {
        x->stream_due_ms = 0;
        exchange_assign_server(x);
    }
}

void exchanges_on_stream_evidence(exchanges_t* e, uint64_t host, const cw_stream_entry_t* reply) {
    for (exchange_t* x = e->list; x; x = x->next) {
        if (x->stream_inquiry_id == reply->stream && x->stream_due_ms) {
            streams_on_evidence(&x->stream_inquiry, host, reply);
        }
    }
}

/* A request on a direct connection to the pool that has been silent since the path broke, and can be sent again. */
static exchange_t* find_cut(exchanges_t* e, const pool_t* pool) {
    exchange_t* x = e->list;
    while (x && !(x->pool == pool && x->conn && x->sent_ms && upstream_conn_is_open(x->conn) &&
                  !upstream_conn_is_tunneled(x->conn) && upstream_conn_received_ms(x->conn) < pool->reach.broken_ms &&
                  exchange_find_replacement(x, false))) {
        x = x->next;
    }
    return x;
}

void exchanges_on_pool_cut(exchanges_t* e, const pool_t* pool) {
    if (!pool->is_path_silent) {
        return;
    }
    for (exchange_t* x = find_cut(e, pool); x; x = find_cut(e, pool)) {
        exchange_fail_attempt(x, CW_EV_UPSTREAM_FAILED, CW_TRY_CANCELLED, "the path to the server is broken");
    }
}

/* An exchange whose deadlines have not been checked since the last resume from suspend. The list is searched again
   after each one, because handling a deadline may free other exchanges. */
static exchange_t* next_unchecked(const exchanges_t* e) {
    exchange_t* x = e->list;
    while (x && x->checked_at_resume == e->resume_count) {
        x = x->next;
    }
    return x;
}

void exchanges_on_resume(exchanges_t* e) {
    e->resume_count++;
    for (exchange_t* x = next_unchecked(e); x; x = next_unchecked(e)) {
        x->checked_at_resume = e->resume_count;
        handle_due(x);
    }
}

void exchanges_set_exit_time(exchanges_t* e, int64_t exit_ms) {
    e->exit_ms = exit_ms;
}

void exchanges_refuse_new(exchanges_t* e) {
    exchange_t* next = NULL;
    e->is_refusing = true;
    for (exchange_t* x = e->queue; x; x = next) {
        next = x->next_queued;
        if (!exchange_may_have_run(x)) {
            x->reason = "this host is stopping";
            exchange_handle_event(x, CW_EV_REFUSED);
        }
    }
}

exchanges_stats_t exchanges_stats(const exchanges_t* e) {
    return e->stats;
}

void exchanges_end_all(exchanges_t* e) {
    exchange_t* next = NULL;
    e->is_ending = true; /* so that the end of one frees no other */
    for (exchange_t* x = e->list; x; x = next) {
        next = x->next;
        if (x->caller) {
            x->reason = "this host has stopped";
            x->result = CW_TRY_CANCELLED;
            exchange_handle_event(x, CW_EV_DEADLINE);
        }
    }
}

void exchanges_shutdown(exchanges_t* e) {
    exchange_t* next = NULL;
    for (exchange_t* x = e->list; x; x = next) {
        next = x->next;
        if (x->conn) {
            upstream_conn_close(x->conn);
        }
        exchange_free(x);
    }
    cw_catalog_release(e->catalog);
    free(e);
}
