/* Assigns a server to a request: decides whether the request may be sent at all, chooses the server, and queues or
   refuses the request while no server has a free slot. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "exchange_internal.h"

#define STREAM_REPLY_MS 60 /* for other hosts to reply to a query for a stream */
#define EXCLUDED_MAX (TRIED_SERVERS_MAX + CW_QUARANTINE_MAX_CRASHES)
#define REPLACEMENT_SILENCE_SHARE 0.5 /* of an attempt's silence: longest one of a server that replaces its own */

/* -- the queue ------------------------------------------------------------ */

/* Counts one more (by = 1) or one fewer (by = -1) queued request of this urgency. */
static void update_waiting_count(const exchange_t* x, int by) {
    uint32_t urgency = cw_work_queue_urgency(&x->work);
    uint32_t* waiting = &x->pool->waiting[urgency];
    *waiting = (uint32_t)((int)*waiting + by);
    cw_balance_set_waiting(x->pool->balance, clock_ms(), urgency, *waiting);
}

void exchange_dequeue(exchange_t* x) {
    for (exchange_t** at = &x->exchanges->queue; x->is_queued && *at; at = &(*at)->next_queued) {
        if (*at == x) {
            *at = x->next_queued;
            x->is_queued = false;
            x->exchanges->stats.waiting--;
            update_waiting_count(x, -1);
            return;
        }
    }
}

static cw_queue_key_t queue_key(const exchange_t* x) {
    return (cw_queue_key_t){.urgency = x->work.urgency,
                            .is_light = x->work.is_light,
                            .is_late = x->work.is_late,
                            .arrived_ms = x->arrived_ms};
}

static bool precedes(const exchange_t* x, const exchange_t* y) {
    cw_queue_key_t key_x = queue_key(x);
    cw_queue_key_t key_y = queue_key(y);
    return cw_queue_precedes(&key_x, &key_y);
}

static void enqueue(exchange_t* x) {
    exchange_t** at = &x->exchanges->queue;
    while (*at && !precedes(x, *at)) {
        at = &(*at)->next_queued;
    }
    x->next_queued = *at;
    *at = x;
    x->is_queued = true;
    x->exchanges->stats.waiting++;
    update_waiting_count(x, 1);
}

/* Queued requests of the same pool and host that precede x. */
static uint32_t count_ahead(const exchange_t* x) {
    uint32_t count = 0;
    for (const exchange_t* y = x->exchanges->queue; y && y != x; y = y->next_queued) {
        count += y->pool == x->pool && (x->is_queued || !precedes(x, y));
    }
    return count;
}

void exchange_refuse(exchange_t* x, const char* why) {
    const cw_occupancy_t* occupancy = cw_balance_occupancy(x->pool->balance);
    const pool_t* pool = x->pool;
    const cw_choice_t* c = &x->choice;
    const server_t* best = c->server == CW_BALANCE_NONE ? NULL : upstreams_server(x->exchanges->desc.upstreams, c->id);
    x->reason = why;
    cw_log(
        x->exchanges->desc.log, CW_EVENT_REQUEST_REFUSED,
        "id=%s why=\"%s\" begun=%s route=%s pool=%s priority=%u urgency=%u server=%s prompt=%u kept=%u wait_ms=%.0f "
        "read_ms=%.0f read_us=%.1f target_ms=%u ready=%u candidates=%u tried=%u away=%u cold=%u resting=%u limited=%u "
        "suspected=%u other_version=%u unsettled=%u doubted=%u no_place=%u reserved=%.0f fullness=%.2f age_ms=%u "
        "waited_ms=%lld ahead=%u held_before=%u held_after=%u holds_ms=%.0f revision=%lld",
        x->id, why, exchange_begun_name(x), x->route->name, pool->name, x->priority, x->work.urgency,
        best ? best->published.id : "-", x->work.prompt_tokens, c->cached_tokens, c->wait_ms, c->prefill_ms,
        cw_balance_prefill_ms_per_token(pool->balance) * US_PER_MS, x->route->target_ms, pool->ready, c->candidates,
        c->excluded.tried, c->excluded.unreachable, c->excluded.cold, c->excluded.backing_off, c->excluded.rate_limited,
        c->excluded.suspected, c->excluded.other_version, c->excluded.unsettled, c->excluded.doubted,
        c->excluded.no_slot, c->reserved_slots, cw_balance_utilization(pool->balance, clock_ms()), c->age_ms,
        (long long)(clock_ms() - x->arrived_ms), count_ahead(x), cw_occupancy_running(occupancy, 0, x->work.urgency),
        cw_occupancy_running(occupancy, x->work.urgency + 1, CW_URGENCY_LEVELS - 1),
        cw_occupancy_hold_ms(occupancy, x->work.urgency), (long long)x->catalog->revision);
    exchange_handle_event(x, CW_EV_REFUSED);
}

bool exchange_may_have_run(const exchange_t* x) {
    return x->fsm.has_sent_bytes;
}

/* Whether y waits for a server of a software version that x does not need: what x can use is of no use to it. */
static bool waits_for_other_version(const exchange_t* y, const exchange_t* x) {
    return y->work.version && y->work.version != x->work.version;
}

/* Whether a queued request of the same pool precedes x and has a target that is at least as short. */
static bool must_queue_behind(const exchange_t* x) {
    for (const exchange_t* y = x->exchanges->queue; y && !precedes(x, y) && !x->is_queued; y = y->next_queued) {
        if (y->pool == x->pool && y->route->target_ms <= x->route->target_ms && !waits_for_other_version(y, x)) {
            return true;
        }
    }
    return false;
}

/* When the caller is taken to give up: at its deadline, or, for a stream, earlier, after the dialect's read timeout. */
static int64_t caller_gives_up_ms(const exchange_t* x) {
    int64_t last_received_ms = x->last_byte_ms ? x->last_byte_ms : x->arrived_ms;
    uint32_t read_timeout_ms =
        x->route->kind == CW_ROUTE_STREAM
            ? dialect_read_timeout_ms(x->exchanges->desc.dialect, x->route->target_ms, x->route->gap_ms)
            : 0;
    bool gives_up_early = read_timeout_ms && last_received_ms + read_timeout_ms < x->deadline_ms;
    return gives_up_early ? last_received_ms + read_timeout_ms : x->deadline_ms;
}

/* Slots that become free soon are those of engines, and of plain servers whose queues must not be used. Other plain
   servers that can't be used are unreachable, and then a quick refusal serves the caller better than a wait. */
static cw_queue_wait_t slot_wait(const exchange_t* x) {
    const cw_balance_t* b = x->pool->balance;
    if (exchange_may_have_run(x)) {
        return (cw_queue_wait_t){.late_from_ms = x->deadline_ms, .until_ms = x->deadline_ms};
    }
    bool has_slots = x->pool->memory_tokens || cw_balance_is_reject_limited(b, clock_ms());
    return cw_queue_wait(
        &(cw_queue_wait_desc_t){.now_ms = clock_ms(),
                                .caller_gone_ms = caller_gives_up_ms(x),
                                .target_ms = x->route->target_ms,
                                .shortest_target_ms = cw_balance_shortest_target_ms(b),
                                .is_delay_tolerant = !has_slots || cw_balance_is_delay_tolerant(b, &x->work)});
}

/* Claims the trial of parts of the request's prompt. */
static void claim_trial(exchange_t* x) {
    exchanges_t* e = x->exchanges;
    x->suspects.claim = cw_mix(e->desc.seed, ++e->random_count) | 1U;
    quarantine_claim(e->desc.quarantine, &x->suspects, &x->verdict, x->pool);
    x->verdict_due_ms = clock_ms() + CW_QUARANTINE_CLAIM_MS;
}

/* Refuses a quarantined request, whatever its id. While the verdict is undecided, the request waits outside of the
   queue. */
bool exchange_check_quarantine(exchange_t* x) {
    quarantine_t* quarantine = x->exchanges->desc.quarantine;
    x->verdict = quarantine_check(quarantine, &x->suspects, x->pool);
    x->work.rendezvous_key = x->verdict.is_isolated ? x->suspects.items[0].content_hash : 0;
    x->verdict_due_ms = 0;
    if (x->verdict.kind == CW_VERDICT_PENDING) {
        x->suspects.claim = 0; /* another claim preceded it */
        x->verdict_due_ms = clock_ms() + x->verdict.retry_ms;
    } else if (x->verdict.kind == CW_VERDICT_TRIAL && x->verdict.claims && !x->verdict.is_claimed) {
        claim_trial(x);
    }
    if (x->verdict_due_ms) {
        exchange_dequeue(x); /* in the queue it would precede requests that can be sent */
        exchange_set_timer(x);
        return true;
    }
    if (x->verdict.kind != CW_VERDICT_QUARANTINED) {
        return false;
    }
    quarantine_record_refusal(quarantine, x->id, &x->verdict);
    x->retry_ms = x->verdict.retry_ms;
    x->reason = QUARANTINED_REASON;
    exchange_handle_event(x, CW_EV_REFUSED);
    return true;
}

/* Whether the version of a stream that this host doesn't know may still become known: other hosts are queried, this one
   has just started and still learns, or it inquires what engines have of the stream. */
static bool awaits_version(exchange_t* x, const stream_request_t* request) {
    streams_t* streams = x->exchanges->desc.streams;
    int64_t now_ms = clock_ms();
    bool is_queried = x->stream_due_ms || !streams_query(streams, request);
    if (is_queried && now_ms < x->stream_due_ms) {
        return true;
    }
    if (is_queried && streams_is_settled(streams) && !streams_inquire(streams, request, &x->stream_inquiry)) {
        return false;
    }
    x->stream_due_ms = now_ms + STREAM_REPLY_MS;
    return true;
}

/* A stream that its caller resumes needs the version that began it. While that is unknown, the request waits outside of
   the queue. True: it waits, or it was refused. */
static bool is_stream_unresolved(exchange_t* x) {
    if (!x->is_resumed_by_caller || x->work.version) {
        return false;
    }
    streams_t* streams = x->exchanges->desc.streams;
    const stream_request_t request = {.pool = x->pool,
                                      .stream = x->stream,
                                      .inquiry = x->stream_inquiry_id,
                                      .id = x->id,
                                      .resumes = x->resumes,
                                      .part = x->stream_run.part.id,
                                      .part_tokens = x->stream_run.part.tokens,
                                      .events = x->stream_run.events};
    x->work.version = streams_resolve(streams, &request);
    if (!x->work.version && awaits_version(x, &request)) {
        exchange_set_timer(x);
        return true;
    }
    if (!x->work.version) {
        x->work.version = streams_resolve_unanswered(streams, &request, &x->stream_inquiry);
    }
    x->stream_due_ms = 0;
    if (!x->work.version) {
        exchange_refuse(x, "the version of the stream is unknown");
        return true;
    }
    return false;
}

/* Whether all untried servers are throttled (backoff or advertised rate) and none accepts a request from this host
   before x would be refused. opens_ms: time until the first of them accepts one, 0: unknown. */
static bool are_all_throttled(const exchange_t* x, uint32_t opens_ms) {
    const cw_excluded_t* excluded = &x->choice.excluded;
    uint32_t throttled = excluded->backing_off + excluded->rate_limited;
    cw_queue_wait_t wait = x->is_queued ? x->wait : slot_wait(x);
    bool is_in_time = opens_ms && clock_ms() + opens_ms < wait.until_ms;
    uint32_t usable = x->pool->ready - excluded->other_version;
    return throttled && excluded->tried + throttled >= usable && !is_in_time;
}

/* Reserves a retry when the retry is decided, not when it is sent. Otherwise requests whose connections break together
   would all be decided on the budget that was left before the first of them was sent. A reserved retry that is not sent
   is not returned to the budget. */
static bool reserve_retry(exchange_t* x) {
    if (x->attempt_count && !x->has_reserved_retry) {
        x->has_reserved_retry = cw_retry_window_take(&x->pool->retries, clock_ms());
    }
    return !x->attempt_count || x->has_reserved_retry;
}

/* -- the choice of a server ------------------------------------------------ */

/* Writes the servers that crashed under an identical request; returns their number. */
static uint32_t list_crashed(const exchange_t* x, uint64_t* out) {
    memcpy(out, x->verdict.incarnations, x->verdict.excluded_count * sizeof(*out));
    return x->verdict.excluded_count;
}

/* Writes the servers that failed this request and those that crashed under an identical one; returns their number. */
static uint32_t list_excluded(const exchange_t* x, uint64_t* out) {
    memcpy(out, x->tried, x->tried_count * sizeof(*out));
    return x->tried_count + list_crashed(x, out + x->tried_count);
}

static bool is_in_time(const cw_choice_t* c) {
    return c->server != CW_BALANCE_NONE && !c->is_late;
}

/* A stream that has been sent to a server begins at that server's version if it can: engines that cache its prompt then
   show the version, whichever of them sent the first event. A stream that must go on at its version does so where this
   host would have noticed a restart, if it can. */
static cw_choice_t choose_except(const exchange_t* x, const uint64_t* excluded, uint32_t count) {
    cw_work_t preferred = x->work;
    if (x->work.version) {
        preferred.needs_observed = true;
    } else if (x->attempt_count && x->stream) {
        preferred.version = x->server_version;
    }
    if (preferred.version) {
        cw_choice_t c = cw_balance_choose(x->pool->balance, clock_ms(), &preferred, excluded, count);
        if (is_in_time(&c)) {
            return c;
        }
    }
    return cw_balance_choose(x->pool->balance, clock_ms(), &x->work, excluded, count);
}

static cw_choice_t choose_server(const exchange_t* x) {
    uint64_t excluded[EXCLUDED_MAX];
    uint32_t count = list_excluded(x, excluded);
    cw_choice_t c = choose_except(x, excluded, count);
    if (!is_in_time(&c) && upstreams_expand_subset(x->pool, clock_ms())) {
        c = choose_except(x, excluded, count);
    }
    if (c.server == CW_BALANCE_NONE && c.excluded.doubted && x->work.begins_stream) {
        cw_work_t work = x->work;
        work.accepts_doubted = true;
        c = cw_balance_choose(x->pool->balance, clock_ms(), &work, excluded, count);
    }
    return c;
}

/* Appends the servers that have been silent for at least so long. */
static uint32_t list_silent(const pool_t* pool, int64_t silent_ms, uint64_t* out) {
    int64_t now_ms = clock_ms();
    uint32_t count = 0;
    for (const server_t* s = pool->servers; s; s = s->next) {
        if (server_silent_ms(s, now_ms) >= silent_ms) {
            out[count++] = s->key;
        }
    }
    return count;
}

/* An array with room for those that list_excluded writes and all servers of the pool. */
static uint64_t* alloc_excluded(const pool_t* pool) {
    uint32_t servers = 0;
    for (const server_t* s = pool->servers; s; s = s->next) {
        servers++;
    }
    uint64_t* excluded = calloc(EXCLUDED_MAX + servers, sizeof(*excluded));
    if (!excluded) {
        abort();
    }
    return excluded;
}

/* When all servers of a pool fall silent at once, another one is no better. So a replacement must have been heard a
   good deal later than the server of the attempt. */
static cw_choice_t choose_heard_server(const exchange_t* x) {
    uint64_t* excluded = alloc_excluded(x->pool);
    int64_t silent_ms = (int64_t)(REPLACEMENT_SILENCE_SHARE * (double)(clock_ms() - x->progress_ms));
    uint32_t count = list_excluded(x, excluded);
    count += list_silent(x->pool, silent_ms > 1 ? silent_ms : 1, excluded + count);
    cw_choice_t c = choose_except(x, excluded, count);
    free(excluded);
    return c;
}

static bool is_left_silent(const exchange_t* x, uint64_t key) {
    for (uint32_t i = 0; i < x->tried_count; i++) {
        if (x->tried[i] == key && ((x->silent_tried >> i) & 1U)) {
            return true;
        }
    }
    return false;
}

/* One of the servers that the request left because they were silent. */
static cw_choice_t choose_silent_server(const exchange_t* x) {
    uint64_t* excluded = alloc_excluded(x->pool);
    uint32_t count = list_crashed(x, excluded);
    for (const server_t* s = x->pool->servers; s; s = s->next) {
        if (!is_left_silent(x, s->key)) {
            excluded[count++] = s->key;
        }
    }
    cw_choice_t c = choose_except(x, excluded, count);
    free(excluded);
    return c;
}

/* Makes the servers that the request left because they were silent eligible again; returns whether there were any. */
static bool readmit_silent_servers(exchange_t* x) {
    uint32_t kept = 0;
    bool has_silent = x->silent_tried != 0;
    for (uint32_t i = 0; i < x->tried_count; i++) {
        if (!((x->silent_tried >> i) & 1U)) {
            x->tried[kept++] = x->tried[i];
        }
    }
    x->tried_count = kept;
    x->silent_tried = 0;
    return has_silent;
}

bool exchange_find_replacement(exchange_t* x, bool excludes_silent) {
    if (!exchange_may_retry(x) || exchange_is_verdict_outdated(x) || must_queue_behind(x)) {
        return false;
    }
    cw_choice_t c = excludes_silent ? choose_heard_server(x) : choose_server(x);
    x->has_replacement = c.server != CW_BALANCE_NONE;
    x->choice = x->has_replacement ? c : x->choice;
    return x->has_replacement;
}

/* Whether the last choice has found no server of the stream's version that was not tried. */
static bool are_all_tried(const exchange_t* x) {
    uint32_t ready = x->pool->ready;
    return (x->tried_count >= ready && !x->returns_to_silent) ||
           x->choice.excluded.tried + x->choice.excluded.other_version >= ready;
}

/* Sets choice. Where all servers were tried, those that were only silent are chosen from again. */
static void choose_untried_server(exchange_t* x) {
    if (x->returns_to_silent) {
        x->choice = choose_silent_server(x);
        return;
    }
    x->choice = choose_server(x);
    if (x->choice.server == CW_BALANCE_NONE && are_all_tried(x) && readmit_silent_servers(x)) {
        x->choice = choose_server(x);
    }
}

/* -- assignment ------------------------------------------------------------ */

static void start_at_chosen_server(exchange_t* x) {
    exchange_dequeue(x);
    uint32_t actions = cw_request_event(&x->fsm, CW_EV_GRANT);
    if (actions & CW_DO_CONNECT) {
        exchange_start_attempt(x);
    }
}

static void wait_for_slot(exchange_t* x) {
    exchanges_t* e = x->exchanges;
    if (!x->is_queued) {
        x->work.is_late = false;
        x->wait = slot_wait(x);
        enqueue(x);
        cw_log(e->desc.log, CW_EVENT_REQUEST_QUEUED, "id=%s pool=%s urgency=%u fullness=%.2f ahead=%u waiting=%u",
               x->id, x->pool->name, x->work.urgency, cw_balance_utilization(x->pool->balance, clock_ms()),
               count_ahead(x), e->stats.waiting);
    }
    exchange_set_timer(x);
}

void exchange_assign_server(exchange_t* x) {
    exchanges_t* e = x->exchanges;
    bool has_replacement = x->has_replacement;
    assert(x->pool);
    x->has_replacement = false;
    if (e->is_ending || exchange_check_quarantine(x) || is_stream_unresolved(x)) {
        return;
    }
    if (!reserve_retry(x)) {
        exchange_refuse(x, "no repeat is left");
        return;
    }
    x->choice = has_replacement ? x->choice : (cw_choice_t){.server = CW_BALANCE_NONE};
    x->retry_ms = 0;
    if (!x->is_queued) {
        x->work.is_light = cw_balance_is_light(x->pool->balance, clock_ms(), &x->work);
    }
    bool is_refused_by_stop = e->is_refusing && !exchange_may_have_run(x);
    if (!has_replacement && !is_refused_by_stop && !must_queue_behind(x)) {
        choose_untried_server(x);
    }
    if (x->choice.is_late && !x->attempt_count) {
        x->retry_ms = (uint32_t)x->choice.wait_ms;
        exchange_refuse(x, "too much stands before it wherever a place is free");
        return;
    }
    if (x->choice.server != CW_BALANCE_NONE) {
        start_at_chosen_server(x);
        return;
    }
    uint32_t other_version = x->choice.excluded.other_version;
    if (is_refused_by_stop || !x->pool->ready || are_all_tried(x)) {
        exchange_refuse(x, is_refused_by_stop ? "this host is stopping"
                           : other_version    ? "no server of the stream's version is left"
                                              : "no server is left to try");
        return;
    }
    uint32_t opens_ms = cw_balance_throttle_wait_ms(x->pool->balance, clock_ms());
    if (!exchange_may_have_run(x) && are_all_throttled(x, opens_ms)) {
        x->retry_ms = opens_ms;
        exchange_refuse(x, "all servers hold callers back");
        return;
    }
    wait_for_slot(x);
}

/* Whether x is queued. x may have been freed. */
static bool is_waiting(const exchanges_t* e, const exchange_t* x) {
    const exchange_t* y = e->queue;
    while (y && y != x) {
        y = y->next_queued;
    }
    return y != NULL;
}

static exchange_t* next_stalled(const exchanges_t* e, const pool_t* pool) {
    exchange_t* x = e->list;
    while (x && !(x->pool == pool && x->conn && x->is_stalled && x->checked_at_slot != e->slot_free_count)) {
        x = x->next;
    }
    return x;
}

/* Stalled attempts compete for free slots, although their requests are not queued. The list is searched again after
   each one, because ending an attempt may free others. */
static void replace_stalled(exchanges_t* e, const pool_t* pool) {
    e->slot_free_count++;
    for (exchange_t* x = next_stalled(e, pool); x; x = next_stalled(e, pool)) {
        x->checked_at_slot = e->slot_free_count;
        exchange_on_stall(x);
    }
}

/* Tries one request of each kind (light, late, urgency). A late request may find no slot, because slots are reserved
   for other requests, while a light one behind it finds one. When one request of a kind finds no
   slot, the others of that kind would find none either. Requests that need a software version are tried one by one:
   each can use few of the servers. */
void exchanges_on_slot_free(exchanges_t* e, pool_t* pool) {
    bool failed_kinds[2][2][CW_URGENCY_LEVELS] = {{{false}}}; /* no slot found, by light, late, urgency */
    if (e->is_ending) {
        return;
    }
    replace_stalled(e, pool);
    exchange_t* x = e->queue;
    while (x) {
        bool needs_version = x->work.version != 0;
        bool* has_failed = &failed_kinds[x->work.is_light][x->work.is_late][x->work.urgency];
        bool is_tried = needs_version ? x->checked_at_slot == e->slot_free_count : *has_failed;
        if (x->pool != pool || is_tried) {
            x = x->next_queued;
            continue;
        }
        x->checked_at_slot = e->slot_free_count;
        exchange_assign_server(x); /* x may be freed now: is_waiting compares its address only */
        *has_failed = *has_failed || (!needs_version && is_waiting(e, x));
        x = e->queue;
    }
}

void exchange_requeue_late(exchange_t* x) {
    pool_t* pool = x->pool;
    exchanges_t* e = x->exchanges;
    exchange_dequeue(x);
    x->work.is_late = true;
    enqueue(x);
    exchange_set_timer(x);
    exchanges_on_slot_free(e, pool); /* the late request no longer precedes them */
}
