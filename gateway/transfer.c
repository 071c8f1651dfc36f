/* One transfer of a request to a server: the connection, the bytes there, the answer back, and what is learned of it.
 */
#include <math.h>
#include <string.h>

#include "clock.h"
#include "exchange_parts.h"
#include "request_head.h"

#define TOLD_PACE_STEP 1.25   /* times by which the learned reading pace moves until it is told again */
#define UNSENT_MAX 262144     /* bytes that wait for a caller before its server is read no more */
#define SILENT_CALL_SHARE 0.7 /* of the target: a repeatable call without an answer is tried elsewhere */
#define SILENT_TARGETS 2.0    /* targets without a first event, beyond the prediction, until a stream is moved */
#define SILENT_EXPECTED 1.5   /* times the predicted time that is waited beside */
#define STALL_GAPS 4          /* longest pauses without an event until a stream is moved */
#define STALL_MIN_MS 400

bool exchange_may_repeat(const exchange_t* x) {
    return x->machine.repeatable && x->machine.attempts < x->machine.max_attempts &&
           (!x->head_passed || x->follow_events) && cw_retry_window_has(&x->pool->retries, clock_ms());
}

/* When a transfer that gives no sign is taken as lost. Only what may be sent again is given up early. */
static void expect_first(exchange_t* x) {
    x->silent_at_ms = 0;
    if (!exchange_may_repeat(x)) {
        return;
    }
    double target_ms = x->route->target_ms;
    double limit_ms = x->route->kind == CW_ROUTE_STREAM
                          ? SILENT_TARGETS * target_ms + SILENT_EXPECTED * (x->choice.wait_ms + x->choice.read_ms)
                          : SILENT_CALL_SHARE * target_ms;
    x->silent_at_ms = x->sent_ms + (int64_t)limit_ms;
}

static void expect_next(exchange_t* x) {
    int64_t gap_ms = (int64_t)x->route->gap_ms * STALL_GAPS;
    gap_ms = gap_ms > STALL_MIN_MS ? gap_ms : STALL_MIN_MS;
    x->silent_at_ms = x->follow_events && exchange_may_repeat(x) ? clock_ms() + gap_ms : 0;
}

static void send_request(exchange_t* x) {
    exchanges_t* e = x->all;
    const cw_message_t* request = caller_message(x->caller);
    const cw_buffer_t* body = caller_body(x->caller);
    int64_t now_ms = clock_ms();
    int64_t left_ms = x->deadline_ms - now_ms;
    if (x->verdict.kind == CW_VERDICT_TRIAL) {
        quarantine_on_trial(e->desc.quarantine, &x->fingerprint, x->server);
    }
    exchange_event(x, CW_EV_SENDING);
    x->transfers++;
    e->stats.repeats += x->transfers > 1;
    x->has_repeat = false;
    e->stats.sends++;
    x->sent_ms = now_ms;
    bool resuming = x->head_passed && x->events.last_id[0];
    e->stats.resumed += resuming;
    request_head_t set = {.request_id = x->id,
                          .workspace = x->workspace ? x->workspace->name : NULL,
                          .server = x->server->published.id,
                          .fetch_from = x->fetch_from[0] ? x->fetch_from : NULL,
                          .last_event = resuming ? x->events.last_id : NULL,
                          .deadline_ms = left_ms > 1 ? (uint32_t)left_ms : 1,
                          .priority = x->work.urgency,
                          .has_priority = x->pool->slots > 0,
                          .body_size = body->size};
    cw_buffer_t head = {0};
    request_head_write(&head, e->desc.dialect, request, &set);
    bool bodiless = strcmp(request->method, "HEAD") == 0;
    if (request->framing == CW_FRAMING_CHUNKED) {
        cw_message_add_chunk(&head, cw_buffer_text(body), body->size);
        cw_message_add_last_chunk(&head);
        link_send(x->link, x->id, bodiless, &head, NULL, 0);
    } else {
        link_send(x->link, x->id, bodiless, &head, cw_buffer_text(body), body->size);
    }
    cw_buffer_free(&head);
    exchange_timer_set(x);
}

/* Nothing has been sent yet, so what was learned of the server while the connection came up still counts. */
static void choose_again(exchange_t* x, const char* why) {
    bool listed = x->tried_count && x->tried[x->tried_count - 1] == x->server->key;
    x->tried_count -= listed; /* it did not fail this request */
    exchange_broken(x, CW_EV_GRANT_EXPIRED, CW_TRY_CANCELLED, why);
}

static void link_on_open(void* owner) {
    exchange_t* x = owner;
    if (x->server->left) {
        choose_again(x, "the server leaves");
    } else if (cw_balance_rests(x->pool->balance, clock_ms(), x->server->key)) {
        choose_again(x, "the server wants rest");
    } else {
        send_request(x);
    }
}

/* The server says that it did not run the request. */
static void on_rejected(exchange_t* x, const cw_message_t* head) {
    bool misdirected = head->status == x->all->desc.dialect->misdirected_status;
    if (misdirected) {
        cw_log(x->all->desc.log, CW_EVENT_SERVER_LEAVES, "server=%s pool=%s reason=\"another server has its address\"",
               x->server_id, x->pool->name);
        upstreams_leaves(x->all->desc.upstreams, clock_ms(), x->server);
    }
    x->retry_ms = cw_balance_opens_in_ms(x->pool->balance, clock_ms());
    exchange_broken(x, CW_EV_REJECTED, misdirected ? CW_TRY_CANCELLED : CW_TRY_FULL,
                    misdirected ? "another server has the address" : "the server has no room");
}

/* Keeps the head until the first byte of the body: until then another server may still give the whole answer. */
static void take_head(exchange_t* x, const cw_message_t* head) {
    cw_buffer_free(&x->head_fields);
    answer_fields_write(&x->head_fields, head);
    x->head_framing = head->framing == CW_FRAMING_CLOSE ? CW_FRAMING_CHUNKED : head->framing;
    x->head_length = head->length;
    x->status = head->status;
    bool events = x->head_framing == CW_FRAMING_CHUNKED && head->status / 100 == 2;
    x->machine.resumable = x->route->kind == CW_ROUTE_STREAM && x->route->resume && events;
    x->follow_events = x->machine.resumable;
}

void exchange_pass_head(exchange_t* x, caller_t* caller) {
    if (!x->head_passed) {
        x->head_passed = true;
        caller_begin(caller, x->status, cw_buffer_text(&x->head_fields), x->head_framing, x->head_length);
        cw_buffer_free(&x->head_fields);
    }
}

static void link_on_head(void* owner, const cw_message_t* head) {
    exchange_t* x = owner;
    const dialect_fields_t* f = &x->all->desc.dialect->fields;
    if (cw_message_field(head, f->not_run) || head->status == x->all->desc.dialect->misdirected_status) {
        on_rejected(x, head);
        return;
    }
    bool signed_answer = !f->signature || cw_message_field(head, f->signature);
    if (!signed_answer || !cw_message_field(head, f->request_id)) {
        exchange_broken(x, CW_EV_BROKEN, CW_TRY_FAILED, "the answer lacks its signature or the request's id");
        return;
    }
    x->answer_failed = head->status >= 500;
    if ((x->answer_failed && exchange_may_repeat(x)) || (x->head_passed && head->status != x->status)) {
        exchange_broken(x, CW_EV_BROKEN, CW_TRY_FAILED, "the server answered with a failure");
        return;
    }
    exchange_event(x, CW_EV_HEAD);
    if (x->caller && !x->head_passed) {
        take_head(x, head);
    }
}

/* Tells the pool's reading pace when it has moved by more than TOLD_PACE_STEP since it was told last, and by what. */
static void tell_pace(const exchange_t* x, int64_t now_ms) {
    pool_t* pool = x->pool;
    double read_ms = cw_balance_read_rate(pool->balance);
    double step = pool->told_read_ms > 0 ? read_ms / pool->told_read_ms : INFINITY;
    if (!pool->slots || (step < TOLD_PACE_STEP && step > 1 / TOLD_PACE_STEP)) {
        return;
    }
    cw_log(x->all->desc.log, CW_EVENT_PACE_LEARNED,
           "pool=%s read_us=%.1f was_us=%.1f id=%s server=%s prompt=%u fresh=%u wait_ms=%.0f took_ms=%lld", pool->name,
           read_ms * US_PER_MS, pool->told_read_ms * US_PER_MS, x->id, x->server_id, x->work.prompt_tokens,
           x->run.fresh_tokens, x->run.found_ms, (long long)(now_ms - x->run.begun_ms));
    pool->told_read_ms = read_ms;
}

static void on_first(exchange_t* x) {
    int64_t now_ms = clock_ms();
    x->first_seen = true;
    x->first_ms = x->first_ms ? x->first_ms : now_ms;
    bool awaited = cw_balance_first(x->pool->balance, now_ms, &x->run);
    tell_pace(x, now_ms);
    x->all->desc.on_load(x->all->desc.user_data, x->server, NULL);
    if (awaited) {
        server_log_life(x->server, now_ms, true, 0);
        x->all->desc.on_life(x->all->desc.user_data, x->server);
    }
}

static void pass_body(exchange_t* x, const char* data, size_t size) {
    if (!size || !x->caller) {
        return;
    }
    int64_t now_ms = clock_ms();
    uint32_t gap_ms = x->last_ms ? (uint32_t)(now_ms - x->last_ms) : 0;
    x->gap_ms = gap_ms > x->gap_ms ? gap_ms : x->gap_ms;
    x->last_ms = now_ms;
    exchange_pass_head(x, x->caller);
    caller_write(x->caller, data, size);
    exchange_event(x, CW_EV_DELIVERED_PART);
    if (caller_unsent(x->caller) > UNSENT_MAX) {
        link_pause(x->link, true);
    }
}

static void link_on_body(void* owner, const char* data, size_t size) {
    exchange_t* x = owner;
    if (!x->first_seen) {
        on_first(x);
    } else if (x->route->kind == CW_ROUTE_STREAM) {
        cw_balance_event(x->pool->balance, clock_ms(), &x->run);
    }
    if (!x->follow_events) {
        pass_body(x, data, size);
        return;
    }
    cw_events_feed(&x->events, data, size);
    for (cw_bytes_view_t whole = cw_events_take(&x->events); whole.size; whole = cw_events_take(&x->events)) {
        pass_body(x, whole.data, whole.size);
    }
    expect_next(x);
    exchange_timer_set(x);
}

static void link_on_complete(void* owner) {
    exchange_t* x = owner;
    if (x->follow_events && cw_events_partial(&x->events)) {
        exchange_broken(x, CW_EV_BROKEN, CW_TRY_FAILED, "the stream ended within an event");
        return;
    }
    x->result = x->answer_failed ? CW_TRY_FAILED : CW_TRY_SERVED;
    quarantine_on_answer(x->all->desc.quarantine, &x->fingerprint);
    link_release(x->link);
    x->link = NULL;
    exchange_event(x, CW_EV_END);
}

/* Whether a server seems to have ended with the request there. One that leaves as planned may cut what it has; a way
   that is lost says nothing of the server. */
static bool ended_under(const exchange_t* x, link_failure_t failure) {
    bool sent = x->machine.state != CW_REQ_CONNECTING;
    return sent && (failure == LINK_RESET || failure == LINK_CLOSED) && !x->server->left;
}

static void link_on_broken(void* owner, link_failure_t failure) {
    exchange_t* x = owner;
    static const char* const reasons[] = {"no connection", "reset", "nothing acknowledged", "closed before the end",
                                          "not an answer"};
    x->link = NULL;
    if (ended_under(x, failure)) {
        quarantine_on_end(x->all->desc.quarantine, &x->fingerprint, x->server);
    }
    if (failure == LINK_UNREACHABLE) {
        cw_log(x->all->desc.log, CW_EVENT_SERVER_AWAY, "server=%s pool=%s peer=%s", x->server_id, x->pool->name,
               x->server->published.address);
        exchange_broken(x, CW_EV_CONNECT_FAILED, CW_TRY_UNREACHABLE, reasons[failure]);
    } else if (x->machine.state == CW_REQ_CONNECTING) {
        exchange_broken(x, CW_EV_CONNECT_FAILED, CW_TRY_CANCELLED, reasons[failure]);
    } else {
        exchange_broken(x, CW_EV_BROKEN, failure == LINK_GARBLED ? CW_TRY_FAILED : CW_TRY_BROKEN, reasons[failure]);
    }
}

static const link_handlers_t link_handlers = {.on_open = link_on_open,
                                              .on_head = link_on_head,
                                              .on_body = link_on_body,
                                              .on_complete = link_on_complete,
                                              .on_broken = link_on_broken};

void exchange_connect(exchange_t* x) {
    exchanges_t* e = x->all;
    const cw_choice_t* choice = &x->choice;
    int64_t now_ms = clock_ms();
    x->run = cw_balance_begin(x->pool->balance, now_ms, choice->server, &x->work);
    x->server = upstreams_server(e->desc.upstreams, x->run.id);
    cw_copy(x->server_id, sizeof(x->server_id), x->server->published.id);
    const server_t* holder = choice->from ? upstreams_server(e->desc.upstreams, choice->from) : NULL;
    cw_copy(x->fetch_from, sizeof(x->fetch_from), holder ? holder->published.address : "");
    x->first_seen = x->answer_failed = false;
    x->sent_ms = 0;
    x->reason = "";
    x->result = CW_TRY_CANCELLED;
    if (x->tried_count < TRIED_MAX) {
        x->tried[x->tried_count++] = x->server->key;
    }
    cw_log(
        e->desc.log, x->transfers ? CW_EVENT_REQUEST_RETRIED : CW_EVENT_REQUEST_SENT,
        "id=%s fingerprint=%016llx server=%s route=%s revision=%lld priority=%u urgency=%u candidates=%u cost_ms=%.0f "
        "wait_ms=%.0f "
        "read_ms=%.0f prompt=%u kept=%u moved=%u again=%u running=%u streaming=%u pace=%.2f age_ms=%u waited_ms=%lld "
        "last_event=%s",
        x->id, (unsigned long long)x->fingerprint.content, x->server_id, x->route->name,
        (long long)x->catalog->revision, x->priority, x->work.urgency, choice->candidates, choice->cost_ms,
        choice->wait_ms, choice->read_ms, x->work.prompt_tokens, choice->kept, choice->moved, choice->again,
        choice->running, choice->streaming, choice->pace, choice->age_ms, (long long)(now_ms - x->arrived_ms),
        x->events.last_id[0] ? x->events.last_id : "-");
    x->sent_ms = now_ms;
    x->expected_ms = (double)(now_ms - x->arrived_ms) + choice->wait_ms + choice->read_ms;
    expect_first(x);
    e->desc.on_load(e->desc.user_data, x->server, &x->work);
    x->link = link_take(x->server, &link_handlers, x, !x->machine.repeatable);
    if (!x->link) {
        exchange_broken(x, CW_EV_CONNECT_FAILED, CW_TRY_FULL, "no connection may be had");
    } else if (link_is_open(x->link)) {
        send_request(x);
    } else {
        exchange_timer_set(x);
    }
}
