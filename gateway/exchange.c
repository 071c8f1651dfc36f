#include "exchange_parts.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admission.h"
#include "clock.h"
#include "request_head.h"

#define RETRY_AFTER_MIN_MS 300    /* shortest time to come back after a refusal */
#define RETRY_AFTER_SPREAD_MS 500 /* spread, so that those refused do not come back together */
#define YOUNG_MS 500              /* a process that has no configuration for longer takes its source to be away */
#define DETACHED_MS 2000          /* a run that may not be repeated is left to itself for so long after its time */

static void act(exchange_t* x, uint32_t todo);

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

static void exchange_free(exchange_t* x) {
    exchanges_t* e = x->all;
    ev_timer_stop(e->desc.loop, &x->timer);
    exchange_queue_remove(x);
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

void exchange_timer_set(exchange_t* x) {
    int64_t due_ms = x->deadline_ms;
    int64_t wait_ms = x->work.late ? x->wait.until_ms : x->wait.late_ms;
    if (x->queued && wait_ms < due_ms) {
        due_ms = wait_ms;
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

void exchange_broken(exchange_t* x, cw_request_event_t e, cw_try_result_t result, const char* reason) {
    x->result = result;
    x->reason = reason;
    cw_log(x->all->desc.log, CW_EVENT_UPSTREAM_FAILED,
           "id=%s step=%s server=%s life=%016llx peer=%s reason=\"%s\" sent_ms_ago=%lld fingerprint=%016llx links=%u",
           x->id, cw_request_state_name(x->machine.state), x->server_id, (unsigned long long)x->server->key,
           x->server->published.address, reason, x->sent_ms ? (long long)(clock_ms() - x->sent_ms) : -1LL,
           (unsigned long long)x->fingerprint.content, x->server->open);
    exchange_event(x, e);
}

/* Ends, gives up or moves on what is due by the clock. The exchange may be gone afterwards. */
static void check_time(exchange_t* x) {
    int64_t now_ms = clock_ms();
    if (now_ms >= x->deadline_ms && x->machine.state == CW_REQ_DETACHED) {
        exchange_broken(x, CW_EV_BROKEN, CW_TRY_FAILED, "no answer long after its time");
    } else if (now_ms >= x->deadline_ms) {
        x->reason = "time is up";
        x->result = CW_TRY_CANCELLED;
        if (x->link && !x->first_seen) {
            x->result = CW_TRY_FAILED;
        }
        exchange_event(x, CW_EV_DEADLINE);
    } else if (x->parked_until_ms && now_ms >= x->parked_until_ms) {
        exchange_seek(x);
    } else if (x->queued && now_ms >= x->wait.until_ms) {
        exchange_refuse(x, "no place came free in time");
    } else if (x->queued && !x->work.late && now_ms >= x->wait.late_ms) {
        exchange_queue_late(x);
    } else if (x->link && x->silent_at_ms && now_ms >= x->silent_at_ms) {
        if (exchange_may_repeat(x)) {
            exchange_broken(x, CW_EV_BROKEN, CW_TRY_FAILED, "silent for too long");
        } else {
            x->silent_at_ms = 0;
            exchange_timer_set(x);
        }
    } else {
        exchange_timer_set(x);
    }
}

static void on_timer(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    check_time(w->data);
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
        exchange_pass_head(x, caller);
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
        exchange_queue_remove(x);
    }
    if (todo & CW_DO_ANSWER) {
        conclude(x);
    }
    if (x->machine.state == CW_REQ_ENDED) {
        exchange_free(x);
    } else if (todo & CW_DO_WANT) {
        exchange_seek(x);
    } else if (x->machine.state == CW_REQ_DETACHED) {
        x->deadline_ms = clock_ms() + DETACHED_MS;
        exchange_timer_set(x);
    }
    if (freed && e->queue) {
        exchanges_on_room(e, freed);
    }
}

/* Tells the machine; the exchange may be gone afterwards. */
void exchange_event(exchange_t* x, cw_request_event_t e) {
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
    x->work = (cw_work_t){.urgency = cw_urgency_level(admission->urgency),
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
    cw_balance_asked(x->pool->balance, x->arrived_ms, &x->work);
    exchange_event(x, CW_EV_START);
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
    exchange_event(x, CW_EV_GONE);
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
            exchange_broken(x, CW_EV_BROKEN, CW_TRY_CANCELLED, HELD_WHY);
        } else if (!exchange_held_back(x)) {
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
        exchange_event(x, CW_EV_REFUSED);
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
