/* Dispatch of requests from the entry to upstreams: slot requests, grants, direct mode, timers. */
#include <sodium.h>
#include <stdio.h>

#include "entry_internal.h"

#define SLOT_REQUEST_RESEND_MS 250 /* resend interval of a queued slot request, to check on the allocator */
#define ALLOCATOR_RETRY_MS 250     /* an unresponsive allocator is tried again after this time */
#define DEADLINE_LOSS_SHARE 0.01   /* largest share of upstream work that may be lost at deadlines */
#define DETACHED_MAX_MS 60000      /* how long past its deadline a detached call may run */

#define HTTP_SERVER_ERROR 500
#define HTTP_TOO_MANY 429
#define HTTP_BAD_GATEWAY 502
#define HTTP_UNAVAILABLE 503
#define HTTP_TIMEOUT 504

/* -- slot requests -------------------------------------------------------- */

static void clear_seq(request_t* r) {
    if (r->seq) {
        cw_map_remove(&r->entry->by_seq, r->seq);
        r->seq = 0;
    }
}

uint32_t dispatch_next_seq(request_t* r) {
    entry_t* e = r->entry;
    e->seq += e->seq == UINT32_MAX ? 2 : 1;
    cw_map_put(&e->by_seq, e->seq, (uint32_t)(r - e->requests));
    return e->seq;
}

static void assign_seq(request_t* r) {
    clear_seq(r);
    r->seq = dispatch_next_seq(r);
}

static uint32_t remaining_ms(const request_t* r, int64_t now_ms) {
    return r->deadline_ms > now_ms ? (uint32_t)(r->deadline_ms - now_ms) : 0;
}

/* A request that may have run can't be told to come back, so it waits for a slot until its deadline. */
static cw_slot_request_t make_slot_request(const request_t* r, int64_t now_ms) {
    const cw_class_t* c = r->class;
    uint32_t left_ms = remaining_ms(r, now_ms);
    uint8_t flags = (uint8_t)((c->is_protected ? CW_SLOT_REQUEST_PROTECTED : 0) |
                              (c->preemptible ? CW_SLOT_REQUEST_PREEMPTIBLE : 0));
    return (cw_slot_request_t){.seq = r->seq,
                               .tier = c->tier,
                               .flags = flags,
                               .weight = r->workspace->weight,
                               .workspace = r->workspace->id,
                               .cost = r->cost,
                               .est_ms = cw_estimate_mean(&r->estimate->run_time_ms, c->est_ms),
                               .high_est_ms =
                                   cw_estimate_cutoff(&r->estimate->run_time_ms, DEADLINE_LOSS_SHARE, c->est_ms),
                               .queue_ms = r->machine.has_sent_bytes ? left_ms : c->queue_ms,
                               .remaining_ms = left_ms,
                               .prefix = r->prefix_hash,
                               .exclude = r->excluded_upstream,
                               .version = r->stream_version,
                               .hall = r->entry->node->hall};
}

void dispatch_send_slot_request(request_t* r) {
    entry_t* e = r->entry;
    entry_shard_t* s = &e->shards[r->shard];
    int64_t now_ms = node_now_ms();
    r->unacknowledged_since_ms = now_ms;
    r->slot_request_sent_ms = now_ms;
    s->last_received_ms = s->last_received_ms ? s->last_received_ms : 1;
    e->out.type = CW_MSG_SLOT_REQUEST;
    e->out.shard = s->id;
    e->out.slot_request = make_slot_request(r, now_ms);
    node_send(e->node, s->owner, &e->out);
}

void dispatch_request_replacement(request_t* r) {
    entry_t* e = r->entry;
    const entry_shard_t* s = &e->shards[r->replacement.shard];
    e->out.type = CW_MSG_SLOT_REQUEST;
    e->out.shard = s->id;
    e->out.slot_request = make_slot_request(r, node_now_ms());
    e->out.slot_request.seq = r->replacement.seq;
    e->out.slot_request.exclude = r->upstream;
    node_send(e->node, s->owner, &e->out);
}

void dispatch_send_cancel(entry_t* e, uint32_t shard, uint32_t seq) {
    e->out.type = CW_MSG_CANCEL;
    e->out.shard = e->shards[shard].id;
    e->out.cancel_seq = seq;
    node_send(e->node, e->shards[shard].owner, &e->out);
}

static void cancel_slot_request(request_t* r) {
    if (r->seq) {
        dispatch_send_cancel(r->entry, r->shard, r->seq);
        clear_seq(r);
    }
}

/* An upstream with a free slot in this entry's static share of the request's shard, CW_PICK_NONE: none. */
static uint32_t choose_direct(const request_t* r, uint64_t exclude) {
    const node_t* node = r->entry->node;
    const cw_pick_query_t query = {
        .prefix = r->prefix_hash, .hall = node->hall, .exclude = exclude, .version = r->stream_version};
    return node->is_view_stale ? CW_PICK_NONE
                               : cw_pick_choose(r->entry->shards[r->shard].direct_pick, node_now_ms(), &query);
}

bool dispatch_has_other_direct_slot(const request_t* r) {
    uint32_t up = choose_direct(r, r->upstream);
    return up != CW_PICK_NONE && cw_pick_at(r->entry->shards[r->shard].direct_pick, up).spec.id != r->upstream;
}

/* Assigns a slot of this entry's static share; returns false when none is free or the view of the fleet is stale. */
static bool assign_direct_slot(request_t* r) {
    entry_t* e = r->entry;
    entry_shard_t* s = &e->shards[r->shard];
    uint32_t up = choose_direct(r, r->excluded_upstream);
    if (up == CW_PICK_NONE) {
        return false;
    }
    cw_pick_begin(s->direct_pick, up);
    cancel_slot_request(r);
    assign_seq(r);
    r->grant = ((uint64_t)e->direct_epoch << 32) | ++e->direct_seq;
    r->upstream = cw_pick_at(s->direct_pick, up).spec.id;
    r->is_direct = true;
    r->grant_expires_ms = node_now_ms() + e->node->settings.grant_ms;
    e->stats.direct_grants++;
    request_event(r, CW_EV_GRANT);
    return true;
}

/* Sends a slot request, or assigns a slot directly while the allocator is known to be unresponsive. A quarantined
   request is refused instead and may be freed; one without a verdict waits. */
static void request_slot(request_t* r) {
    if (!suspects_admit(r) || replacement_use(r)) {
        return;
    }
    replacement_cancel(r);
    entry_shard_t* s = &r->entry->shards[r->shard];
    int64_t now_ms = node_now_ms();
    bool is_unresponsive = s->unresponsive_since_ms && now_ms - s->unresponsive_since_ms < ALLOCATOR_RETRY_MS;
    if (is_unresponsive && assign_direct_slot(r)) {
        return;
    }
    assign_seq(r);
    dispatch_send_slot_request(r);
}

void dispatch_request_slot_at_new_shard(request_t* r) {
    uint32_t shard = shards_choose(r->entry, r);
    cancel_slot_request(r);
    if (shard == ENTRY_NONE) {
        request_set_error(r, HTTP_UNAVAILABLE, "no-upstream", "choose", NULL, "the pool has no upstream any more",
                          1000);
        request_event(r, CW_EV_REFUSED);
        return;
    }
    r->shard = shard;
    r->first_shard = shard;
    request_slot(r);
    if (r->is_used) {
        request_arm(r);
    }
}

static void on_allocator_unresponsive(request_t* r, int64_t now_ms) {
    entry_t* e = r->entry;
    entry_shard_t* s = &e->shards[r->shard];
    if (!s->unresponsive_since_ms || now_ms - s->unresponsive_since_ms >= ALLOCATOR_RETRY_MS) {
        cw_log(&e->node->log, CW_EVENT_ALLOCATOR_SILENT, "shard=%016llx host=%016llx", (unsigned long long)s->id,
               (unsigned long long)s->owner);
        s->unresponsive_since_ms = now_ms;
    }
    if (!assign_direct_slot(r)) {
        dispatch_send_slot_request(r);
    }
}

/* -- slot release --------------------------------------------------------- */

static void send_grant_release(entry_t* e, uint64_t shard, uint64_t to, const cw_grant_release_t* release) {
    e->out.type = CW_MSG_GRANT_RELEASE;
    e->out.shard = shard;
    e->out.grant_release = *release;
    node_send(e->node, to, &e->out);
}

void dispatch_release_unused(entry_t* e, uint32_t shard, uint64_t grant) {
    const cw_grant_release_t unused = {.grant = grant, .result = CW_PICK_UNUSED};
    send_grant_release(e, e->shards[shard].id, e->shards[shard].owner, &unused);
}

/* Releases the slot. The allocator is notified of direct grants too. */
static void release_slot(request_t* r, cw_pick_result_t result) {
    entry_t* e = r->entry;
    if (!r->grant) {
        return;
    }
    int64_t now_ms = node_now_ms();
    entry_shard_t* s = &e->shards[r->shard];
    uint32_t took_ms = r->sent_ms ? (uint32_t)(now_ms - r->sent_ms) : 0;
    bool served = result == CW_PICK_SERVED;
    const cw_grant_release_t grant_release = {
        .grant = r->grant, .result = result, .took_ms = took_ms, .cost = served ? r->cost : r->stream.tokens};
    if (r->is_direct) {
        uint32_t up = cw_pick_find(s->direct_pick, r->upstream);
        if (up != CW_PICK_NONE) {
            cw_pick_end(s->direct_pick, now_ms, up, result, took_ms, r->cost);
        }
    }
    send_grant_release(e, s->id, s->owner, &grant_release);
    r->grant = 0;
    r->is_direct = false;
    clear_seq(r);
}

/* -- state machine -------------------------------------------------------- */

/* Result of the attempt, as reported with the release of its slot. */
static cw_pick_result_t slot_result(const request_t* r, cw_request_event_t event) {
    switch (event) {
        case CW_EV_RESPONSE_END:
            return r->upstream_status < HTTP_SERVER_ERROR ? CW_PICK_SERVED : CW_PICK_FAILED;
        case CW_EV_UPSTREAM_FAILED:
            if (r->is_other_version) {
                return CW_PICK_CANCELLED;
            }
            return r->upstream_status == HTTP_UNAVAILABLE ? CW_PICK_DRAINING : CW_PICK_FAILED;
        case CW_EV_CONNECT_FAILED:
            return CW_PICK_FAILED;
        case CW_EV_GRANT_EXPIRED:
            return CW_PICK_UNUSED;
        default:
            return r->sent_ms ? CW_PICK_CANCELLED : CW_PICK_UNUSED;
    }
}

void request_event(request_t* r, cw_request_event_t event) {
    uint32_t actions = cw_request_event(&r->machine, event);
    if ((actions & CW_DO_ABORT) && r->call) {
        cw_call_cancel(r->call);
        r->call = NULL;
    }
    if (actions & CW_DO_RELEASE_SLOT) {
        release_slot(r, slot_result(r, event));
    }
    if (actions & CW_DO_CANCEL_SLOT_REQUEST) {
        cancel_slot_request(r);
    }
    if (actions & CW_DO_REQUEST_SLOT) {
        request_slot(r);
        if (!r->is_used) {
            return;
        }
    }
    if (actions & CW_DO_CONNECT) {
        attempt_begin(r);
    }
    if (actions & CW_DO_RESPOND) {
        request_respond(r);
    }
    if (r->machine.state == CW_REQ_ENDED) {
        replacement_cancel(r);
        if (!r->is_answered) {
            request_respond(r);
        }
        request_free(r);
    } else {
        request_arm(r);
    }
}

/* -- timers --------------------------------------------------------------- */

static uint32_t allocator_timeout_ms(const request_t* r) {
    const cw_settings_t* s = &r->entry->node->settings;
    return r->class->is_protected ? s->protected_allocator_response_timeout_ms : s->allocator_response_timeout_ms;
}

/* Time at which the attempt counts as stalled, INT64_MAX: never. Without this timeout, a frozen upstream would not be
   noticed: it sends nothing but keeps its connection open. */
static int64_t stall_time_ms(const request_t* r) {
    bool is_running = r->machine.state == CW_REQ_SENT || r->machine.state == CW_REQ_STREAMING;
    if (!is_running || !r->machine.resumable || !r->machine.repeatable || r->is_upstream_paused) {
        return INT64_MAX;
    }
    const cw_settings_t* s = &r->entry->node->settings;
    int64_t stalled_ms =
        r->last_progress_ms + (r->last_progress_ms == r->sent_ms ? s->first_token_timeout_ms : s->stall_ms);
    return r->next_seek_ms > stalled_ms ? r->next_seek_ms : stalled_ms;
}

static void arm_loop_timer(entry_t* e) {
    ev_timer_stop(e->node->loop, &e->timer);
    uint32_t top = cw_heap_top(&e->timers);
    if (top == CW_HEAP_NONE) {
        return;
    }
    double wait_ms = cw_heap_key(&e->timers, top) - (double)node_now_ms();
    ev_timer_set(&e->timer, wait_ms > 0 ? wait_ms / 1000.0 : 0.0, 0.0);
    ev_timer_start(e->node->loop, &e->timer);
}

void request_arm(request_t* r) {
    entry_t* e = r->entry;
    int64_t at_ms = r->deadline_ms;
    if (r->machine.state == CW_REQ_DETACHED) {
        at_ms = r->deadline_ms + DETACHED_MAX_MS;
    } else if (r->machine.state == CW_REQ_WAITING) {
        int64_t resend_ms = r->verdict_due_ms            ? r->verdict_due_ms
                            : r->unacknowledged_since_ms ? r->unacknowledged_since_ms + allocator_timeout_ms(r)
                                                         : r->next_resend_ms;
        at_ms = resend_ms < at_ms ? resend_ms : at_ms;
    }
    int64_t stall_ms = stall_time_ms(r);
    at_ms = stall_ms < at_ms ? stall_ms : at_ms;
    uint32_t previous_top = cw_heap_top(&e->timers);
    double previous_key = previous_top == CW_HEAP_NONE ? 0 : cw_heap_key(&e->timers, previous_top);
    cw_heap_set(&e->timers, (uint32_t)(r - e->requests), (double)at_ms);
    uint32_t top = cw_heap_top(&e->timers);
    if (previous_top == CW_HEAP_NONE || cw_heap_key(&e->timers, top) < previous_key) {
        arm_loop_timer(e);
    }
}

static void reject_joined_at_deadline(request_t* r) {
    request_set_error(r, HTTP_TIMEOUT, "deadline", "joined", NULL, "the call still runs", 1000);
    r->is_answered = true;
    r->machine.has_sent_bytes = true; /* sent by the running call that this request retries */
    r->machine.state = CW_REQ_ENDED;
    request_respond(r);
    request_free(r);
}

static void on_request_timer(request_t* r, int64_t now_ms) {
    bool is_due = now_ms >= r->deadline_ms || now_ms >= stall_time_ms(r);
    if (r->joined_record != CW_RUN_NONE) {
        reject_joined_at_deadline(r);
    } else if (is_due && attempt_settle(r)) {
        return;
    } else if (r->machine.state == CW_REQ_DETACHED) {
        r->machine.is_retry_allowed = false;
        request_event(r, CW_EV_UPSTREAM_FAILED);
    } else if (now_ms >= r->deadline_ms) {
        request_set_error(r, HTTP_TIMEOUT, "deadline", cw_request_state_name(r->machine.state), NULL,
                          "the deadline has passed", 0);
        attempt_missed_deadline(r);
        request_event(r, CW_EV_DEADLINE);
    } else if (now_ms >= stall_time_ms(r)) {
        replacement_seek(r);
        if (r->is_used) {
            request_arm(r);
        }
    } else if (r->machine.state == CW_REQ_SENT || r->machine.state == CW_REQ_STREAMING) {
        request_arm(r); /* the attempt made progress since the timer was set */
    } else if (r->machine.state == CW_REQ_WAITING) {
        if (r->verdict_due_ms) {
            request_slot(r);
        } else if (r->unacknowledged_since_ms) {
            on_allocator_unresponsive(r, now_ms);
        } else {
            dispatch_send_slot_request(r);
        }
        if (r->is_used) {
            request_arm(r);
        }
    }
}

/* Answers the caller with what is known of the run. */
static void end_request(request_t* r) {
    bool may_have_run = r->machine.has_sent_bytes;
    if (r->joined_record != CW_RUN_NONE) {
        reject_joined_at_deadline(r);
    } else if (!attempt_settle(r)) {
        request_set_error(r, may_have_run ? HTTP_BAD_GATEWAY : HTTP_UNAVAILABLE, "stopping",
                          cw_request_state_name(r->machine.state), NULL, "this host has stopped",
                          may_have_run ? 0 : STOPPING_RETRY_AFTER_MS);
        request_event(r, CW_EV_DEADLINE);
    }
}

void entry_end_all(entry_t* e) {
    for (uint32_t i = 0; i < e->max_requests; i++) {
        if (e->requests[i].is_used && e->requests[i].x) {
            end_request(&e->requests[i]);
        }
    }
}

static void on_timer(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    entry_t* e = w->data;
    int64_t now_ms = node_now_ms();
    uint32_t i = cw_heap_top(&e->timers);
    while (i != CW_HEAP_NONE && cw_heap_key(&e->timers, i) <= (double)now_ms) {
        /* Set first, so that the loop ends even if the handler leaves the timer as it is. */
        cw_heap_set(&e->timers, i, (double)(now_ms + SLOT_REQUEST_RESEND_MS));
        on_request_timer(&e->requests[i], now_ms);
        i = cw_heap_top(&e->timers);
    }
    arm_loop_timer(e);
}

void entry_tick(entry_t* e, int64_t now_ms) {
    shards_send_digests(e, now_ms);
    suspects_tick(e, now_ms);
}

/* -- messages from the allocator ------------------------------------------ */

static void on_grant(entry_t* e, request_t* r, uint64_t from, const cw_msg_t* msg) {
    const cw_shard_action_t* a = &msg->action;
    if (r && r->grant == a->grant) {
        return; /* duplicate */
    }
    if (!r || r->machine.state != CW_REQ_WAITING || r->grant) {
        const cw_grant_release_t unused = {.grant = a->grant, .result = CW_PICK_UNUSED};
        send_grant_release(e, msg->shard, from, &unused);
        return;
    }
    r->grant = a->grant;
    r->upstream = a->upstream;
    r->is_direct = false;
    r->grant_expires_ms = r->slot_request_sent_ms + a->queued_ms + a->ttl_ms;
    request_event(r, CW_EV_GRANT);
}

/* Returns the pool's next shard in cyclic order of index, or ENTRY_NONE once the request's first shard is reached. */
static uint32_t next_shard(const request_t* r) {
    const entry_t* e = r->entry;
    for (uint32_t k = 1; k < e->shard_count; k++) {
        uint32_t i = (r->shard + k) % e->shard_count;
        if (i == r->first_shard) {
            return ENTRY_NONE;
        }
        if (e->shards[i].is_current && e->shards[i].pool == r->pool->id) {
            return i;
        }
    }
    return ENTRY_NONE;
}

/* Requests a slot at the pool's next shard, if there is one left. A protected request is refused only after every shard
   of its pool has refused it, since another shard may have requests of lower priority waiting. Refusals by the
   workspace's rate limit are final. A stream that is resumed may find its version at another shard. */
static bool request_slot_at_next_shard(request_t* r, const cw_shard_action_t* a) {
    bool lacks_version = r->stream_version && a->refusal == CW_REFUSED_NO_UPSTREAM;
    bool may_continue = lacks_version || (r->class->is_protected && a->refusal != CW_REFUSED_RATE);
    uint32_t next = may_continue ? next_shard(r) : ENTRY_NONE;
    if (next == ENTRY_NONE) {
        return false;
    }
    r->shard = next;
    request_slot(r);
    if (r->is_used) {
        request_arm(r);
    }
    return true;
}

static void on_refusal(request_t* r, const cw_shard_action_t* a) {
    if (request_slot_at_next_shard(r, a)) {
        return;
    }
    char message[CW_MESSAGE_MAX];
    snprintf(message, sizeof(message), "refused by the shard: %s", cw_refusal_name(a->refusal));
    unsigned status = a->refusal == CW_REFUSED_NO_UPSTREAM ? HTTP_UNAVAILABLE
                      : a->refusal == CW_REFUSED_LATE      ? HTTP_TIMEOUT
                                                           : HTTP_TOO_MANY;
    if (!r->machine.has_sent_bytes) {
        request_set_error(r, status, cw_refusal_name(a->refusal), "queue", NULL, message, a->retry_after_ms);
    }
    clear_seq(r);
    request_event(r, CW_EV_REFUSED);
}

void entry_on_action(entry_t* e, uint64_t from, const cw_msg_t* msg) {
    const cw_shard_action_t* a = &msg->action;
    uint32_t shard = shards_find(e, msg->shard);
    if (shard == ENTRY_NONE) {
        return;
    }
    entry_shard_t* s = &e->shards[shard];
    if (from == s->owner) {
        s->wait_ms = msg->wait_ms;
        s->last_received_ms = node_now_ms();
        s->unresponsive_since_ms = 0;
        s->last_grant_id = (a->kind == CW_SHARD_GRANT && a->grant > s->last_grant_id) ? a->grant : s->last_grant_id;
    }
    if (a->kind == CW_SHARD_RESYNC) {
        shards_send_grant_list(e, shard, from);
        return;
    }
    uint32_t i = cw_map_get(&e->by_seq, a->seq);
    request_t* r = (i == CW_MAP_NONE) ? NULL : &e->requests[i];
    bool is_for_replacement = r && a->seq == r->replacement.seq;
    if (is_for_replacement && a->kind != CW_SHARD_PREEMPT) {
        replacement_on_action(r, a);
    } else if (a->kind == CW_SHARD_GRANT) {
        on_grant(e, r, from, msg);
    } else if (r && a->kind == CW_SHARD_REFUSE && r->machine.state == CW_REQ_WAITING) {
        on_refusal(r, a);
    } else if (r && a->kind == CW_SHARD_QUEUED && r->machine.state == CW_REQ_WAITING) {
        r->unacknowledged_since_ms = 0;
        r->next_resend_ms = node_now_ms() + SLOT_REQUEST_RESEND_MS;
        request_arm(r);
    } else if (r && a->kind == CW_SHARD_PREEMPT && r->grant == a->grant && !attempt_settle(r)) {
        request_set_error(r, HTTP_UNAVAILABLE, "preempted", "answer", NULL, "a protected request needed the slot",
                          1000);
        r->machine.is_retry_allowed = true;
        request_event(r, CW_EV_PREEMPTED);
    }
}

void entry_on_peer_closed(entry_t* e, uint64_t host) {
    int64_t now_ms = node_now_ms();
    for (uint32_t i = 0; i < e->shard_count; i++) {
        if (e->shards[i].owner == host && e->shards[i].last_received_ms) {
            e->shards[i].next_digest_ms = now_ms + DIGEST_AFTER_LOSS_MS; /* releases in transit may be lost */
            e->shards[i].has_reported_grants = true;
        }
    }
    for (uint32_t i = 0; i < e->max_requests; i++) {
        request_t* r = &e->requests[i];
        if (r->is_used && r->shard != ENTRY_NONE && r->machine.state == CW_REQ_WAITING && r->seq &&
            e->shards[r->shard].owner == host) {
            on_allocator_unresponsive(r, now_ms);
        }
    }
}

void entry_on_resume(entry_t* e) {
    for (uint32_t i = 0; i < e->max_requests; i++) {
        request_t* r = &e->requests[i];
        if (r->is_used && r->machine.state == CW_REQ_WAITING && r->seq && r->joined_record == CW_RUN_NONE) {
            dispatch_send_slot_request(r);
        }
    }
}

/* -- setup ---------------------------------------------------------------- */

void dispatch_setup(entry_t* e) {
    e->direct_epoch = randombytes_random() | 1;
    ev_timer_init(&e->timer, on_timer, 0.0, 0.0);
    e->timer.data = e;
}

void dispatch_shutdown(entry_t* e) {
    ev_timer_stop(e->node->loop, &e->timer);
    for (uint32_t i = 0; i < e->shard_count; i++) {
        cw_pick_shutdown(e->shards[i].direct_pick);
    }
}
