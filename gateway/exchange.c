#include "exchange.h"

#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "../chalkway_events.h"
#include "../chalkway_fingerprint.h"
#include "../chalkway_request.h"
#include "admission.h"
#include "clock.h"
#include "request_head.h"

#define MS_PER_S 1000.0
#define US_PER_MS 1000.0
#define TOLD_PACE_STEP 1.25 /* times by which the learned reading pace moves until it is told again */
#define TRIED_MAX 8         /* servers that a request leaves out after they failed it */
#define UNSENT_MAX 262144   /* bytes that wait for a caller before its server is read no more */
#define WAIT_SHARE 0.4 /* of the shortest target in the pool: longest wait for a place, then the request is refused */
#define WAIT_MIN_MS 20
#define SILENT_CALL_SHARE 0.7 /* of the target: a repeatable call without an answer is tried elsewhere */
#define SILENT_TARGETS 2.0    /* targets without a first event, beyond the prediction, until a stream is moved */
#define SILENT_EXPECTED 1.5   /* times the predicted time that is waited beside */
#define STALL_GAPS 4          /* longest pauses without an event until a stream is moved */
#define STALL_MIN_MS 400
#define RETRY_AFTER_MIN_MS 300    /* shortest time to come back after a refusal */
#define RETRY_AFTER_SPREAD_MS 500 /* spread, so that those refused do not come back together */
#define YOUNG_MS 500              /* a process that has no configuration for longer takes its source to be away */
#define DETACHED_MS 2000          /* a run that may not be repeated is left to itself for so long after its time */
#define ID_MAX 128
#define HELD_WHY "servers ended under it"

typedef struct exchange_t {
    exchanges_t* all;
    caller_t* caller; /* NULL: gone, or its answer is complete */
    char id[ID_MAX];
    cw_fingerprint_t fingerprint; /* what it is, whatever its id */
    cw_catalog_t* catalog;
    const cw_route_t* route;
    const cw_tenant_t* workspace;
    pool_t* pool;
    cw_request_t machine;
    cw_work_t work;
    cw_choice_t choice;   /* the last one that was tried */
    cw_verdict_t verdict; /* on what it is, at the last look for a server */
    uint32_t priority;
    int64_t arrived_ms, deadline_ms;
    int64_t wait_until_ms; /* in the queue: refused then */
    bool queued;
    int64_t parked_until_ms; /* whether it may be sent can't be said before, 0: it can */
    /* the transfer at hand */
    server_t* server;
    char server_id[CW_NAME_MAX];            /* of the last transfer, for the log */
    char fetch_from[CW_SERVER_ADDRESS_MAX]; /* of a server that keeps more of the prompt, "" none */
    link_t* link;
    cw_run_t run;
    int64_t sent_ms, silent_at_ms; /* silent_at_ms: tried elsewhere then, 0: never */
    double expected_ms;            /* forecast of the first event, from the last sending on */
    bool first_seen;
    bool answer_failed; /* the server's answer is a failure of its own */
    cw_try_result_t result;
    const char* reason; /* why the last transfer failed */
    /* over all transfers */
    uint64_t tried[TRIED_MAX];
    uint32_t tried_count;
    uint32_t transfers;
    bool has_repeat;         /* its next transfer is in the budget for repeats */
    uint32_t retry_ms;       /* refused: time until a place may be free */
    cw_buffer_t head_fields; /* of the answer's head, until it is passed on */
    cw_framing_t head_framing;
    uint64_t head_length;
    bool head_passed;
    bool follow_events; /* the stream may go on at another server */
    cw_events_t events;
    unsigned status;
    int64_t first_ms; /* first byte passed on, 0: none */
    int64_t last_ms;  /* latest byte passed on */
    uint32_t woken;   /* the wake at which it looked at the clock */
    uint32_t gap_ms;  /* longest pause between two of them */
    ev_timer timer;
    struct exchange_t* prev;
    struct exchange_t* next;
    struct exchange_t* next_queued;
} exchange_t;

struct exchanges_t {
    exchanges_desc_t desc;
    cw_catalog_t* catalog;
    exchange_t* list;
    exchange_t* queue; /* see goes_before */
    bool refusing;
    uint64_t draws;
    uint32_t wakes; /* times that the machine was suspended */
    int64_t setup_ms;
    exchanges_stats_t stats;
};

static void act(exchange_t* x, uint32_t todo);
static void event(exchange_t* x, cw_request_event_t e);
static void refuse(exchange_t* x, const char* why);
static void seek_server(exchange_t* x);

static uint64_t draw(exchanges_t* e) {
    return cw_mix(e->desc.seed, ++e->draws);
}

/* -- answers of the gateway's own ----------------------------------------- */

/* A small answer that repeats the request's id; retry_ms 0: no time to come back. */
static void answer(exchanges_t* e, caller_t* caller, unsigned status, const char* id, const char* why,
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

/* -- life ----------------------------------------------------------------- */

/* One more (by = 1) or fewer (-1) of the request's urgency wait. */
static void tell_waiting(const exchange_t* x, int by) {
    uint32_t* waiting = &x->pool->waiting[x->work.urgency];
    *waiting = (uint32_t)((int)*waiting + by);
    cw_balance_waiting(x->pool->balance, clock_ms(), x->work.urgency, *waiting);
}

static void queue_remove(exchange_t* x) {
    for (exchange_t** at = &x->all->queue; x->queued && *at; at = &(*at)->next_queued) {
        if (*at == x) {
            *at = x->next_queued;
            x->queued = false;
            x->all->stats.waiting--;
            tell_waiting(x, -1);
            return;
        }
    }
}

/* Whether x goes before y: by urgency, which engines go by too, then by arrival. A place that an urgent request waits
   for would else go to whatever a favoured workspace sends. */
static bool goes_before(const exchange_t* x, const exchange_t* y) {
    return x->work.urgency != y->work.urgency ? x->work.urgency < y->work.urgency : x->arrived_ms < y->arrived_ms;
}

static void queue_add(exchange_t* x) {
    exchange_t** at = &x->all->queue;
    while (*at && !goes_before(x, *at)) {
        at = &(*at)->next_queued;
    }
    x->next_queued = *at;
    *at = x;
    x->queued = true;
    x->all->stats.waiting++;
    tell_waiting(x, 1);
}

static void exchange_free(exchange_t* x) {
    exchanges_t* e = x->all;
    ev_timer_stop(e->desc.loop, &x->timer);
    queue_remove(x);
    if (x->prev) {
        x->prev->next = x->next;
    } else {
        e->list = x->next;
    }
    if (x->next) {
        x->next->prev = x->prev;
    }
    e->stats.active--;
    cw_events_free(&x->events);
    cw_buffer_free(&x->head_fields);
    cw_catalog_release(x->catalog);
    free(x);
}

static const char* const outcome_names[EXCHANGE_OUTCOME_COUNT] = {"served", "denied", "refused", "failed", "gone"};

/* The one line that tells how a request ended, and from what. */
static void done(exchange_t* x, exchange_outcome_t outcome, const char* why) {
    exchanges_t* e = x->all;
    int64_t now_ms = clock_ms();
    uint32_t first_ms = x->first_ms ? (uint32_t)(x->first_ms - x->arrived_ms) : 0;
    e->stats.outcomes[outcome]++;
    cw_log(e->desc.log, CW_EVENT_REQUEST_DONE,
           "id=%s outcome=%s status=%u why=\"%s\" route=%s workspace=%s revision=%lld server=%s transfers=%u "
           "urgency=%u expected_ms=%.0f first_ms=%u gap_ms=%u took_ms=%lld left_ms=%lld run=%s",
           x->id, outcome_names[outcome], x->status, why, x->route->name, x->workspace ? x->workspace->name : "-",
           (long long)x->catalog->revision, x->server_id[0] ? x->server_id : "-", x->transfers, x->work.urgency,
           x->expected_ms, first_ms, x->gap_ms, (long long)(now_ms - x->arrived_ms),
           (long long)(x->deadline_ms - now_ms), cw_outcome_name(cw_request_outcome(&x->machine)));
    if (e->desc.on_done) {
        e->desc.on_done(e->desc.user_data, x->route->name, x->workspace ? x->workspace->name : "-", outcome, first_ms,
                        (uint32_t)(now_ms - x->arrived_ms));
    }
}

/* -- time ----------------------------------------------------------------- */

static void timer_set(exchange_t* x) {
    int64_t due_ms = x->deadline_ms;
    if (x->queued && x->wait_until_ms < due_ms) {
        due_ms = x->wait_until_ms;
    }
    if (x->parked_until_ms && x->parked_until_ms < due_ms) {
        due_ms = x->parked_until_ms;
    }
    if (x->link && x->silent_at_ms && x->silent_at_ms < due_ms) {
        due_ms = x->silent_at_ms;
    }
    int64_t left_ms = due_ms - clock_ms();
    ev_timer_stop(x->all->desc.loop, &x->timer);
    ev_timer_set(&x->timer, left_ms > 0 ? (double)left_ms / MS_PER_S : 0.0, 0.0);
    ev_timer_start(x->all->desc.loop, &x->timer);
}

static bool may_repeat(const exchange_t* x) {
    return x->machine.repeatable && x->machine.attempts < x->machine.max_attempts &&
           (!x->head_passed || x->follow_events) && cw_retry_window_has(&x->pool->retries, clock_ms());
}

/* When a transfer that gives no sign is taken as lost. Only what may be sent again is given up early. */
static void expect_first(exchange_t* x) {
    x->silent_at_ms = 0;
    if (!may_repeat(x)) {
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
    x->silent_at_ms = x->follow_events && may_repeat(x) ? clock_ms() + gap_ms : 0;
}

static void broken(exchange_t* x, cw_request_event_t e, cw_try_result_t result, const char* reason) {
    x->result = result;
    x->reason = reason;
    cw_log(x->all->desc.log, CW_EVENT_UPSTREAM_FAILED,
           "id=%s step=%s server=%s life=%016llx peer=%s reason=\"%s\" sent_ms_ago=%lld fingerprint=%016llx links=%u",
           x->id, cw_request_state_name(x->machine.state), x->server_id, (unsigned long long)x->server->key,
           x->server->published.address, reason, x->sent_ms ? (long long)(clock_ms() - x->sent_ms) : -1LL,
           (unsigned long long)x->fingerprint.content, x->server->open);
    event(x, e);
}

/* Ends, gives up or moves on what is due by the clock. The exchange may be gone afterwards. */
static void check_time(exchange_t* x) {
    int64_t now_ms = clock_ms();
    if (now_ms >= x->deadline_ms && x->machine.state == CW_REQ_DETACHED) {
        broken(x, CW_EV_BROKEN, CW_TRY_FAILED, "no answer long after its time");
    } else if (now_ms >= x->deadline_ms) {
        x->reason = "time is up";
        x->result = CW_TRY_CANCELLED;
        if (x->link && !x->first_seen) {
            x->result = CW_TRY_FAILED;
        }
        event(x, CW_EV_DEADLINE);
    } else if (x->parked_until_ms && now_ms >= x->parked_until_ms) {
        seek_server(x);
    } else if (x->queued && now_ms >= x->wait_until_ms) {
        refuse(x, "no place came free in time");
    } else if (x->link && x->silent_at_ms && now_ms >= x->silent_at_ms) {
        if (may_repeat(x)) {
            broken(x, CW_EV_BROKEN, CW_TRY_FAILED, "silent for too long");
        } else {
            x->silent_at_ms = 0;
            timer_set(x);
        }
    } else {
        timer_set(x);
    }
}

static void on_timer(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    check_time(w->data);
}

/* -- to the server -------------------------------------------------------- */

static void send_request(exchange_t* x) {
    exchanges_t* e = x->all;
    const cw_message_t* request = caller_message(x->caller);
    const cw_buffer_t* body = caller_body(x->caller);
    int64_t now_ms = clock_ms();
    int64_t left_ms = x->deadline_ms - now_ms;
    if (x->verdict.kind == CW_VERDICT_TRIAL) {
        quarantine_on_trial(e->desc.quarantine, &x->fingerprint, x->server);
    }
    event(x, CW_EV_SENDING);
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
    timer_set(x);
}

static void link_on_open(void* owner) {
    send_request(owner);
}

/* The server says that it did not run the request. */
static void on_rejected(exchange_t* x, const cw_message_t* head) {
    bool misdirected = head->status == x->all->desc.dialect->misdirected_status;
    if (misdirected) {
        cw_log(x->all->desc.log, CW_EVENT_SERVER_LEAVES, "server=%s pool=%s reason=\"another server has its address\"",
               x->server_id, x->pool->name);
        upstreams_leaves(x->all->desc.upstreams, clock_ms(), x->server);
    }
    broken(x, CW_EV_REJECTED, misdirected ? CW_TRY_CANCELLED : CW_TRY_FULL,
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

static void pass_head(exchange_t* x, caller_t* caller) {
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
        broken(x, CW_EV_BROKEN, CW_TRY_FAILED, "the answer lacks its signature or the request's id");
        return;
    }
    x->answer_failed = head->status >= 500;
    if ((x->answer_failed && may_repeat(x)) || (x->head_passed && head->status != x->status)) {
        broken(x, CW_EV_BROKEN, CW_TRY_FAILED, "the server answered with a failure");
        return;
    }
    event(x, CW_EV_HEAD);
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
    pass_head(x, x->caller);
    caller_write(x->caller, data, size);
    event(x, CW_EV_DELIVERED_PART);
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
    timer_set(x);
}

static void link_on_complete(void* owner) {
    exchange_t* x = owner;
    if (x->follow_events && cw_events_partial(&x->events)) {
        broken(x, CW_EV_BROKEN, CW_TRY_FAILED, "the stream ended within an event");
        return;
    }
    x->result = x->answer_failed ? CW_TRY_FAILED : CW_TRY_SERVED;
    quarantine_on_answer(x->all->desc.quarantine, &x->fingerprint);
    link_release(x->link);
    x->link = NULL;
    event(x, CW_EV_END);
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
        broken(x, CW_EV_CONNECT_FAILED, CW_TRY_UNREACHABLE, reasons[failure]);
    } else if (x->machine.state == CW_REQ_CONNECTING) {
        broken(x, CW_EV_CONNECT_FAILED, CW_TRY_CANCELLED, reasons[failure]);
    } else {
        broken(x, CW_EV_BROKEN, failure == LINK_GARBLED ? CW_TRY_FAILED : CW_TRY_BROKEN, reasons[failure]);
    }
}

static const link_handlers_t link_handlers = {.on_open = link_on_open,
                                              .on_head = link_on_head,
                                              .on_body = link_on_body,
                                              .on_complete = link_on_complete,
                                              .on_broken = link_on_broken};

/* -- choosing ------------------------------------------------------------- */

static void connect_to(exchange_t* x) {
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
        broken(x, CW_EV_CONNECT_FAILED, CW_TRY_FULL, "no connection may be had");
    } else if (link_is_open(x->link)) {
        send_request(x);
    } else {
        timer_set(x);
    }
}

/* Refuses a request that waits or has just come, with the inputs of the last choice that was tried for it. */
static void refuse(exchange_t* x, const char* why) {
    const pool_t* pool = x->pool;
    const cw_choice_t* c = &x->choice;
    const server_t* best = c->server == CW_BALANCE_NONE ? NULL : upstreams_server(x->all->desc.upstreams, c->id);
    x->reason = why;
    cw_log(x->all->desc.log, CW_EVENT_REQUEST_REFUSED,
           "id=%s why=\"%s\" route=%s pool=%s priority=%u urgency=%u server=%s prompt=%u kept=%u wait_ms=%.0f "
           "read_ms=%.0f read_us=%.1f target_ms=%u ready=%u candidates=%u tried=%u away=%u cold=%u suspected=%u "
           "no_place=%u fullness=%.2f age_ms=%u waited_ms=%lld revision=%lld",
           x->id, why, x->route->name, pool->name, x->priority, x->work.urgency, best ? best->published.id : "-",
           x->work.prompt_tokens, c->kept, c->wait_ms, c->read_ms, cw_balance_read_rate(pool->balance) * US_PER_MS,
           x->route->target_ms, pool->ready, c->candidates, c->left_out.tried, c->left_out.away, c->left_out.cold,
           c->left_out.suspected, c->left_out.no_place, cw_balance_fullness(pool->balance, clock_ms()), c->age_ms,
           (long long)(clock_ms() - x->arrived_ms), (long long)x->catalog->revision);
    event(x, CW_EV_REFUSED);
}

/* Whether one that is as urgent, and whose time is as short, waits for the pool already. */
static bool behind_another(const exchange_t* x) {
    for (const exchange_t* y = x->all->queue; y && !goes_before(x, y) && !x->queued; y = y->next_queued) {
        if (y->pool == x->pool && y->route->target_ms <= x->route->target_ms) {
            return true;
        }
    }
    return false;
}

/* How long a request waits for a place: the same for all of a pool, since those that waited longer, for their longer
   targets, would take the places that come free while more urgent work gives up. */
static int64_t place_wait_ms(const exchange_t* x) {
    double shortest_ms = cw_balance_shortest_target(x->pool->balance);
    double target_ms = x->route->target_ms;
    double wait_ms = WAIT_SHARE * (shortest_ms > 0 && shortest_ms < target_ms ? shortest_ms : target_ms);
    return (int64_t)(wait_ms > WAIT_MIN_MS ? wait_ms : WAIT_MIN_MS);
}

/* Whether servers end under what the request is: then it goes nowhere, whatever its id, and is answered at once, or,
   where that can't be said yet, waits until it can. */
static bool held_back(exchange_t* x) {
    quarantine_t* quarantine = x->all->desc.quarantine;
    x->verdict = quarantine_ask(quarantine, &x->fingerprint);
    x->work.spread = x->verdict.kind == CW_VERDICT_FREE ? 0 : x->fingerprint.content;
    x->parked_until_ms = x->verdict.kind == CW_VERDICT_WAIT ? clock_ms() + x->verdict.retry_ms : 0;
    if (x->parked_until_ms) {
        queue_remove(x); /* it would stand before others */
        timer_set(x);
        return true;
    }
    if (x->verdict.kind != CW_VERDICT_HELD) {
        return false;
    }
    quarantine_count_held(quarantine, &x->fingerprint, x->id, &x->verdict);
    x->retry_ms = x->verdict.retry_ms;
    x->reason = HELD_WHY;
    event(x, CW_EV_REFUSED);
    return true;
}

/* Takes a repeat from the budget at the moment of the decision: those that break together would else all be decided by
   what was left before the first of them was sent. A repeat that isn't sent then is not given back. */
static bool take_repeat(exchange_t* x) {
    if (x->transfers && !x->has_repeat) {
        x->has_repeat = cw_retry_window_take(&x->pool->retries, clock_ms());
    }
    return !x->transfers || x->has_repeat;
}

/* The best server but for those that failed this request, or ended under another one that is the same. */
static cw_choice_t choose(const exchange_t* x) {
    uint64_t out[TRIED_MAX + CW_QUARANTINE_ENDS];
    memcpy(out, x->tried, x->tried_count * sizeof(*out));
    memcpy(out + x->tried_count, x->verdict.lives, x->verdict.ruled_out * sizeof(*out));
    return cw_balance_choose(x->pool->balance, clock_ms(), &x->work, out, x->tried_count + x->verdict.ruled_out);
}

/* Takes the best server, or a place in the queue. */
static void seek_server(exchange_t* x) {
    exchanges_t* e = x->all;
    assert(x->pool);
    if (held_back(x)) {
        return;
    }
    if (!take_repeat(x)) {
        refuse(x, "no repeat is left");
        return;
    }
    x->choice = (cw_choice_t){.server = CW_BALANCE_NONE};
    if (!e->refusing && !behind_another(x)) {
        x->choice = choose(x);
    }
    if (x->choice.late && !x->transfers) {
        x->retry_ms = (uint32_t)x->choice.wait_ms;
        refuse(x, "too much stands before it wherever a place is free");
        return;
    }
    if (x->choice.server != CW_BALANCE_NONE) {
        queue_remove(x);
        uint32_t todo = cw_request_event(&x->machine, CW_EV_GRANT);
        if (todo & CW_DO_CONNECT) {
            connect_to(x);
        }
        return;
    }
    bool none_left = x->tried_count >= x->pool->ready || x->choice.left_out.tried >= x->pool->ready;
    if (e->refusing || !x->pool->ready || none_left) {
        refuse(x, e->refusing ? "this host is stopping" : "no server is left to try");
        return;
    }
    if (!x->queued) {
        x->wait_until_ms = clock_ms() + place_wait_ms(x);
        queue_add(x);
        cw_log(e->desc.log, CW_EVENT_REQUEST_QUEUED, "id=%s pool=%s fullness=%.2f waiting=%u", x->id, x->pool->name,
               cw_balance_fullness(x->pool->balance, clock_ms()), e->stats.waiting);
    }
    timer_set(x);
}

/* The first that waits for the pool. */
static exchange_t* queue_first(const exchanges_t* e, const pool_t* pool) {
    exchange_t* x = e->queue;
    while (x && x->pool != pool) {
        x = x->next_queued;
    }
    return x;
}

void exchanges_on_room(exchanges_t* e, pool_t* pool) {
    exchange_t* x = queue_first(e, pool);
    while (x) {
        seek_server(x); /* x may be gone now: only its place in the queue is looked at */
        exchange_t* first = queue_first(e, pool);
        if (first == x) {
            return; /* it found none; those behind it are not more urgent */
        }
        x = first;
    }
}

/* -- the machine's actions ------------------------------------------------ */

static void give_back(exchange_t* x) {
    pool_t* pool = x->pool;
    server_t* server = x->server;
    if (x->run.server == CW_BALANCE_NONE) {
        return;
    }
    int64_t now_ms = clock_ms();
    bool suspected = cw_balance_suspected(pool->balance, now_ms, server->key);
    cw_balance_end(pool->balance, now_ms, &x->run, x->result);
    x->all->desc.on_load(x->all->desc.user_data, server, NULL);
    if (x->result == CW_TRY_BROKEN || x->result == CW_TRY_UNREACHABLE) {
        server_log_life(server, now_ms, suspected, 0);
        x->all->desc.on_life(x->all->desc.user_data, server);
    }
}

static void cut(exchange_t* x) {
    if (x->link) {
        link_drop(x->link);
        x->link = NULL;
    }
    if (x->follow_events) {
        cw_events_restart(&x->events);
    }
}

static uint32_t retry_after_ms(exchange_t* x) {
    return x->retry_ms + RETRY_AFTER_MIN_MS + (uint32_t)(draw(x->all) % RETRY_AFTER_SPREAD_MS);
}

/* The final answer, by what may truthfully be said. */
static void conclude(exchange_t* x) {
    exchanges_t* e = x->all;
    caller_t* caller = x->caller;
    cw_outcome_t outcome = cw_request_outcome(&x->machine);
    const char* why = x->reason && x->reason[0] ? x->reason : "-";
    x->caller = NULL;
    if (!caller) {
        return;
    }
    if (outcome == CW_OUTCOME_DELIVERED) {
        done(x, EXCHANGE_SERVED, why);
        pass_head(x, caller);
        caller_finish(caller, true);
    } else if (x->head_passed) {
        done(x, EXCHANGE_FAILED, why);
        caller_finish(caller, false);
    } else if (outcome == CW_OUTCOME_NOT_RUN) {
        x->status = 503;
        done(x, EXCHANGE_REFUSED, why);
        answer(e, caller, 503, x->id, why, retry_after_ms(x));
    } else {
        x->status = clock_ms() >= x->deadline_ms ? 504 : 502;
        done(x, EXCHANGE_FAILED, why);
        answer(e, caller, x->status, x->id, why, 0);
    }
}

static void act(exchange_t* x, uint32_t todo) {
    if (todo & CW_DO_ABORT) {
        cut(x);
    }
    pool_t* freed = todo & CW_DO_RETURN ? x->pool : NULL;
    exchanges_t* e = x->all;
    if (freed) {
        give_back(x);
    }
    if (todo & CW_DO_WITHDRAW) {
        queue_remove(x);
    }
    if (todo & CW_DO_ANSWER) {
        conclude(x);
    }
    if (x->machine.state == CW_REQ_ENDED) {
        exchange_free(x);
    } else if (todo & CW_DO_WANT) {
        seek_server(x);
    } else if (x->machine.state == CW_REQ_DETACHED) {
        x->deadline_ms = clock_ms() + DETACHED_MS;
        timer_set(x);
    }
    if (freed && e->queue) {
        exchanges_on_room(e, freed);
    }
}

/* Tells the machine; the exchange may be gone afterwards. */
static void event(exchange_t* x, cw_request_event_t e) {
    x->machine.retry_allowed = cw_retry_window_has(&x->pool->retries, clock_ms());
    uint32_t todo = cw_request_event(&x->machine, e);
    if (todo || x->machine.state == CW_REQ_ENDED) {
        act(x, todo);
    }
}

/* -- from the caller ------------------------------------------------------ */

static void deny(exchanges_t* e, caller_t* caller, unsigned status, const char* id, const char* why) {
    const cw_message_t* m = caller_message(caller);
    e->stats.outcomes[EXCHANGE_DENIED]++;
    cw_log(e->desc.log, CW_EVENT_REQUEST_DENIED, "id=%s status=%u why=\"%s\" target=%.60s revision=%lld",
           id[0] ? id : "-", status, why, m->target, e->catalog ? (long long)e->catalog->revision : 0LL);
    answer(e, caller, status, id, why, 0);
}

/* The whole body is there: it can be told what the request is before it is sent anywhere. */
static cw_fingerprint_t fingerprint_of(caller_t* caller, const cw_tenant_t* workspace) {
    const cw_message_t* m = caller_message(caller);
    const cw_buffer_t* body = caller_body(caller);
    return cw_fingerprint(workspace ? cw_name_id(workspace->name) : 0,
                          &(cw_fingerprint_parts_t){.method = m->method,
                                                    .host = cw_message_field(m, "Host"),
                                                    .target = m->target,
                                                    .body = body->data,
                                                    .size = body->size});
}

static exchange_t* exchange_new(exchanges_t* e, caller_t* caller, const admission_t* admission, const char* id) {
    exchange_t* x = calloc(1, sizeof(*x));
    if (!x) {
        abort();
    }
    const cw_route_t* route = admission->route;
    bool stream = route->kind == CW_ROUTE_STREAM;
    x->all = e;
    x->caller = caller;
    cw_copy(x->id, sizeof(x->id), id);
    x->catalog = cw_catalog_hold(e->catalog);
    x->route = route;
    x->workspace = admission->workspace;
    x->fingerprint = fingerprint_of(caller, x->workspace);
    x->arrived_ms = clock_ms();
    x->woken = e->wakes;
    x->deadline_ms = x->arrived_ms + admission->held_ms;
    x->priority = admission->priority;
    x->run.server = CW_BALANCE_NONE;
    x->machine = cw_request_new(&(cw_request_desc_t){.repeatable = admission->repeatable,
                                                     .resumable = stream && route->resume,
                                                     .cancel_when_gone = stream,
                                                     .count_sent = true,
                                                     .max_attempts = route->attempts});
    x->work = (cw_work_t){.urgency = admission->urgency < CW_URGENCIES ? admission->urgency : CW_URGENCIES - 1,
                          .target_ms = route->target_ms,
                          .gap_ms = route->gap_ms,
                          .repeatable = admission->repeatable};
    request_work_read(&x->work, e->desc.dialect, caller_message(caller));
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

/* Has no configuration although it is no longer young. */
static bool source_seems_away(const exchanges_t* e) {
    return clock_ms() - e->setup_ms > (e->desc.young_ms ? e->desc.young_ms : YOUNG_MS);
}

void exchanges_on_request(exchanges_t* e, caller_t* caller) {
    const cw_message_t* m = caller_message(caller);
    const char* id = cw_message_field(m, e->desc.dialect->fields.request_id);
    char made[24];
    if (!id || !id[0] || strlen(id) >= ID_MAX) {
        snprintf(made, sizeof(made), "%016llx", (unsigned long long)draw(e));
        id = made;
    }
    if (!e->catalog) {
        e->stats.outcomes[EXCHANGE_REFUSED]++;
        cw_log(e->desc.log, CW_EVENT_REQUEST_DENIED, "id=%s status=503 why=\"no configuration\" revision=0", id);
        uint32_t retry_ms = admission_unconfigured_retry_ms(e->desc.dialect, m, source_seems_away(e), draw(e));
        answer(e, caller, 503, id, "no configuration", retry_ms);
        return;
    }
    admission_t admission = admission_judge(e->desc.dialect, e->catalog, m);
    if (admission.status) {
        deny(e, caller, admission.status, id, admission.why);
        return;
    }
    exchange_t* x = exchange_new(e, caller, &admission, id);
    const cw_catalog_pool_t* pool = cw_catalog_pool(e->catalog, admission.route, draw(e));
    x->pool = upstreams_pool(e->desc.upstreams, pool->name);
    assert(x->pool); /* upstreams were told of the catalog before */
    cw_retry_window_first(&x->pool->retries, x->arrived_ms);
    cw_balance_asked(x->pool->balance, x->arrived_ms, x->work.urgency);
    event(x, CW_EV_START);
}

void exchanges_on_gone(exchanges_t* e, caller_t* caller) {
    (void)e;
    exchange_t* x = caller_data(caller);
    if (!x) {
        return;
    }
    x->caller = NULL;
    x->result = CW_TRY_CANCELLED;
    x->reason = "the caller left";
    done(x, EXCHANGE_GONE, x->reason);
    event(x, CW_EV_GONE);
}

void exchanges_on_drained(exchanges_t* e, caller_t* caller) {
    (void)e;
    exchange_t* x = caller_data(caller);
    if (x && x->link) {
        link_pause(x->link, false);
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
    cw_catalog_t* before = e->catalog;
    e->catalog = cw_catalog_hold(catalog);
    cw_catalog_release(before);
}

/* The first request of the kind that waits for a server, or has one. */
static exchange_t* first_of(const exchanges_t* e, const cw_fingerprint_t* request) {
    exchange_t* x = e->list;
    while (x && (!cw_fingerprint_same(&x->fingerprint, request) || !(x->queued || x->link || x->parked_until_ms))) {
        x = x->next;
    }
    return x;
}

void exchanges_on_held(exchanges_t* e, const cw_fingerprint_t* request) {
    for (exchange_t* x = first_of(e, request); x; x = first_of(e, request)) {
        if (x->link) {
            broken(x, CW_EV_BROKEN, CW_TRY_CANCELLED, HELD_WHY);
        } else if (!held_back(x)) {
            return;
        }
    }
}

/* One that has not looked at the clock since the last wake. What one does then may end others. */
static exchange_t* not_woken(const exchanges_t* e) {
    exchange_t* x = e->list;
    while (x && x->woken == e->wakes) {
        x = x->next;
    }
    return x;
}

void exchanges_on_wake(exchanges_t* e) {
    e->wakes++;
    for (exchange_t* x = not_woken(e); x; x = not_woken(e)) {
        x->woken = e->wakes;
        check_time(x);
    }
}

void exchanges_refuse_new(exchanges_t* e) {
    exchange_t* next = NULL;
    e->refusing = true;
    for (exchange_t* x = e->queue; x; x = next) {
        next = x->next_queued;
        x->reason = "this host is stopping";
        event(x, CW_EV_REFUSED);
    }
}

exchanges_stats_t exchanges_stats(const exchanges_t* e) {
    return e->stats;
}

void exchanges_shutdown(exchanges_t* e) {
    exchange_t* next = NULL;
    for (exchange_t* x = e->list; x; x = next) {
        next = x->next;
        if (x->link) {
            link_drop(x->link);
        }
        exchange_free(x);
    }
    cw_catalog_release(e->catalog);
    free(e);
}
