/* Dispatch of requests from the entry to upstreams: slot requests, grants, direct mode, attempts. */
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry_internal.h"

#define SLOT_REQUEST_RESEND_MS 250     /* resend interval of a queued slot request, to check on the allocator */
#define ALLOCATOR_RETRY_MS 250         /* an unresponsive allocator is tried again after this time */
#define DIGEST_INTERVAL_MS 20000       /* long, since a release is lost only when a peer connection breaks */
#define DIGEST_AFTER_LOSS_MS 500       /* after the connection to the allocator broke or a send failed */
#define REPORTED_WAIT_MAX_AGE_MS 5000  /* older reports of a shard's queue wait are ignored */
#define AFFINITY_MAX_WAIT_MS 200       /* additional queue wait accepted for prefix affinity */
#define DEADLINE_LOSS_SHARE 0.01       /* largest share of upstream work that may be lost at deadlines */
#define DETACHED_MAX_MS 60000          /* how long past its deadline a detached call may run */
#define STREAM_HIGH_WATER_BYTES 262144 /* unsent output at which reading from the upstream is paused */

#define HTTP_OK 200
#define HTTP_SERVER_ERROR 500
#define HTTP_TOO_MANY 429
#define HTTP_BAD_GATEWAY 502
#define HTTP_UNAVAILABLE 503
#define HTTP_TIMEOUT 504

static const char sse_type[] = "text/event-stream";

/* -- shards --------------------------------------------------------------- */

static uint32_t find_shard(const entry_t* e, uint64_t id) {
    for (uint32_t i = 0; i < e->shard_count; i++) {
        if (e->shards[i].id == id) {
            return i;
        }
    }
    return ENTRY_NONE;
}

static void send_grant_list(entry_t* e, uint32_t shard, uint64_t to);
static void send_slot_request(request_t* r);
static void cancel_slot_request(request_t* r);
static void request_slot(request_t* r);

/* Updates the list of shards, and this entry's static share of their upstreams, from the current configuration. */
static void refresh_shards(entry_t* e) {
    cw_snapshot_t* snapshot = cw_store_snapshot(e->node->store);
    for (uint32_t i = 0; i < e->shard_count; i++) {
        e->shards[i].is_current = false;
    }
    for (uint32_t p = 0; p < snapshot->pool_count; p++) {
        const cw_pool_t* pool = &snapshot->pools[p];
        pool_layout_t layout = node_pool_layout(snapshot, pool);
        for (uint32_t k = 0; layout.count && k < layout.shard_count; k++) {
            uint64_t id = cw_rendezvous_shard_id(pool->id, k);
            uint32_t i = find_shard(e, id);
            if (i == ENTRY_NONE && e->shard_count < ENTRY_MAX_SHARDS) {
                i = e->shard_count++;
                e->shards[i] =
                    (entry_shard_t){.id = id, .pool = pool->id, .direct_pick = cw_pick_setup(&(cw_pick_desc_t){0})};
            }
            if (i != ENTRY_NONE) {
                e->shards[i].is_current = true;
                cw_pick_spec_t specs[CW_PICK_MAX];
                uint32_t count = node_shard_specs(e->node, snapshot, &layout, id, true, specs);
                cw_pick_set_upstreams(e->shards[i].direct_pick, specs, count);
            }
        }
    }
    cw_snapshot_release(snapshot);
}

/* Sends a shard's new allocator the grants that this entry holds, and resends the pending slot requests to it. */
static void change_shard_owner(entry_t* e, uint32_t shard, uint64_t owner) {
    entry_shard_t* s = &e->shards[shard];
    s->owner = owner;
    s->last_grant_id = 0;
    s->unresponsive_since_ms = 0;
    s->wait_ms = 0;
    if (!s->last_received_ms) {
        return; /* this entry has not used the shard */
    }
    send_grant_list(e, shard, owner);
    for (uint32_t i = 0; i < e->max_requests; i++) {
        request_t* r = &e->requests[i];
        if (r->is_used && r->shard == shard && r->machine.state == CW_REQ_WAITING && r->seq) {
            send_slot_request(r);
        }
    }
}

/* Returns the shard that the upstream belongs to in the given configuration, or ENTRY_NONE. */
static uint32_t shard_of_upstream(const entry_t* e, const cw_snapshot_t* snapshot, uint64_t upstream) {
    const cw_upstream_t* u = cw_snapshot_upstream(snapshot, upstream);
    const cw_pool_t* pool = u ? cw_snapshot_pool(snapshot, u->pool_id) : NULL;
    if (!pool) {
        return ENTRY_NONE;
    }
    pool_layout_t layout = node_pool_layout(snapshot, pool);
    return find_shard(e, cw_rendezvous_shard(pool->id, upstream, layout.ids, layout.count, layout.shard_count));
}

/* Moves a running request to the shard that its upstream belongs to now. */
static void reassign_running(entry_t* e, const cw_snapshot_t* snapshot, request_t* r) {
    uint32_t shard = shard_of_upstream(e, snapshot, r->upstream);
    if (shard == ENTRY_NONE || shard == r->shard) {
        return;
    }
    const uint32_t both[] = {r->shard, shard};
    r->shard = shard;
    for (int i = 0; i < 2; i++) {
        e->shards[both[i]].next_digest_ms = 0; /* both allocators get a digest with the next tick */
        e->shards[both[i]].has_reported_grants = true;
    }
}

/* Requests a slot at another shard for a waiting request; refuses the request when its pool has no shard left. */
static void request_slot_at_new_shard(request_t* r) {
    uint32_t shard = dispatch_choose_shard(r->entry, r);
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
    request_arm(r);
}

/* Adapts the requests to a new division of pools into shards: running requests move to the shard that their upstream
   belongs to now; requests waiting at a removed shard request a slot at another one. */
static void reassign_requests(entry_t* e) {
    cw_snapshot_t* snapshot = cw_store_snapshot(e->node->store);
    for (uint32_t i = 0; i < e->max_requests; i++) {
        request_t* r = &e->requests[i];
        if (!r->is_used || r->shard == ENTRY_NONE) {
            continue;
        }
        if (r->grant && !r->is_direct) {
            reassign_running(e, snapshot, r);
        } else if (r->machine.state == CW_REQ_WAITING && !e->shards[r->shard].is_current) {
            request_slot_at_new_shard(r);
        }
    }
    cw_snapshot_release(snapshot);
}

void entry_on_cluster_changed(entry_t* e) {
    refresh_shards(e);
    uint64_t hosts[NODE_MAX_HOSTS];
    uint32_t count = node_list_live_hosts(e->node, hosts);
    for (uint32_t i = 0; i < e->shard_count; i++) {
        uint64_t owner = node_shard_owner(e->node, e->shards[i].id, hosts, count);
        if (owner != e->shards[i].owner) {
            change_shard_owner(e, i, owner);
        }
    }
    reassign_requests(e);
}

static uint32_t recent_wait_ms(const entry_shard_t* s, int64_t now_ms) {
    return (s->last_received_ms && now_ms - s->last_received_ms < REPORTED_WAIT_MAX_AGE_MS) ? s->wait_ms : 0;
}

/* Chooses between the two highest-ranked shards by rendezvous hashing of the prompt prefix, or of a varying key when
   there is no prefix. Returns the one with the shorter queue wait; with a prefix, the second is returned only if its
   wait is shorter by more than AFFINITY_MAX_WAIT_MS, since upstreams of the first may have the prefix cached. */
uint32_t dispatch_choose_shard(entry_t* e, const request_t* r) {
    uint64_t key = r->prefix_hash ? r->prefix_hash : cw_mix(e->stats.requests, e->node->host);
    uint32_t best = ENTRY_NONE;
    uint32_t second = ENTRY_NONE;
    for (uint32_t i = 0; i < e->shard_count; i++) {
        if (!e->shards[i].is_current || e->shards[i].pool != r->pool->id) {
            continue;
        }
        uint64_t score = cw_mix(key, e->shards[i].id);
        if (best == ENTRY_NONE || score > cw_mix(key, e->shards[best].id)) {
            second = best;
            best = i;
        } else if (second == ENTRY_NONE || score > cw_mix(key, e->shards[second].id)) {
            second = i;
        }
    }
    if (second == ENTRY_NONE) {
        return best;
    }
    int64_t now_ms = node_now_ms();
    uint32_t affinity_wait_ms = r->prefix_hash ? AFFINITY_MAX_WAIT_MS : 0;
    return recent_wait_ms(&e->shards[second], now_ms) + affinity_wait_ms < recent_wait_ms(&e->shards[best], now_ms)
               ? second
               : best;
}

/* -- grants reported to the allocator ------------------------------------- */

static bool has_grant_at(const request_t* r, uint32_t shard) {
    return r->is_used && r->grant && r->shard == shard;
}

static cw_grant_digest_t make_digest(const entry_t* e, uint32_t shard) {
    cw_grant_digest_t d = {.last = e->shards[shard].last_grant_id};
    for (uint32_t i = 0; i < e->max_requests; i++) {
        if (has_grant_at(&e->requests[i], shard)) {
            d.ids_xor ^= e->requests[i].grant;
            d.count++;
        }
    }
    return d;
}

static void send_grant_list(entry_t* e, uint32_t shard, uint64_t to) {
    cw_msg_t msg = {.type = CW_MSG_GRANT_LIST, .shard = e->shards[shard].id};
    msg.digest = make_digest(e, shard);
    msg.held = e->held_grants;
    for (uint32_t i = 0; i < e->max_requests && msg.held_count < CW_GRANT_LIST_MAX; i++) {
        const request_t* r = &e->requests[i];
        if (has_grant_at(r, shard)) {
            e->held_grants[msg.held_count++] = (cw_held_grant_t){.grant = r->grant,
                                                                 .upstream = r->upstream,
                                                                 .workspace = r->workspace->id,
                                                                 .seq = r->seq,
                                                                 .cost = r->cost,
                                                                 .tier = r->class->tier};
        }
    }
    node_send(e->node, to, &msg);
}

static void send_digests(entry_t* e, int64_t now_ms) {
    for (uint32_t i = 0; i < e->shard_count; i++) {
        entry_shard_t* s = &e->shards[i];
        if (now_ms < s->next_digest_ms) {
            continue;
        }
        s->next_digest_ms = now_ms + DIGEST_INTERVAL_MS;
        cw_grant_digest_t d = make_digest(e, i);
        if (!d.count && !s->has_reported_grants) {
            continue;
        }
        e->out.type = CW_MSG_GRANT_DIGEST;
        e->out.shard = s->id;
        e->out.digest = d;
        if (node_send(e->node, s->owner, &e->out) == CW_OK) {
            s->has_reported_grants = d.count != 0;
        } else {
            s->next_digest_ms = now_ms + DIGEST_AFTER_LOSS_MS;
        }
    }
}

static void send_grant_release(entry_t* e, uint64_t shard, uint64_t to, const cw_grant_release_t* release) {
    e->out.type = CW_MSG_GRANT_RELEASE;
    e->out.shard = shard;
    e->out.grant_release = *release;
    node_send(e->node, to, &e->out);
}

/* -- slot requests -------------------------------------------------------- */

static void clear_seq(request_t* r) {
    if (r->seq) {
        cw_map_remove(&r->entry->by_seq, r->seq);
        r->seq = 0;
    }
}

static void assign_seq(request_t* r) {
    clear_seq(r);
    entry_t* e = r->entry;
    e->seq += e->seq == UINT32_MAX ? 2 : 1;
    r->seq = e->seq;
    cw_map_put(&e->by_seq, r->seq, (uint32_t)(r - e->requests));
}

static uint32_t remaining_ms(const request_t* r, int64_t now_ms) {
    return r->deadline_ms > now_ms ? (uint32_t)(r->deadline_ms - now_ms) : 0;
}

static cw_slot_request_t make_slot_request(const request_t* r, int64_t now_ms) {
    const cw_class_t* c = r->class;
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
                               .queue_ms = c->queue_ms,
                               .remaining_ms = remaining_ms(r, now_ms),
                               .prefix = r->prefix_hash,
                               .exclude = r->excluded_upstream,
                               .version = r->stream_version,
                               .hall = r->entry->node->hall};
}

/* Sends or resends the slot request. A resent one keeps its sequence number, by which the allocator recognizes it. */
static void send_slot_request(request_t* r) {
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

static void cancel_slot_request(request_t* r) {
    if (!r->seq) {
        return;
    }
    entry_t* e = r->entry;
    e->out.type = CW_MSG_CANCEL;
    e->out.shard = e->shards[r->shard].id;
    e->out.cancel_seq = r->seq;
    node_send(e->node, e->shards[r->shard].owner, &e->out);
    clear_seq(r);
}

/* Assigns a slot of this entry's static share; returns false when none is free or the view of the fleet is stale. */
static bool assign_direct_slot(request_t* r) {
    entry_t* e = r->entry;
    entry_shard_t* s = &e->shards[r->shard];
    int64_t now_ms = node_now_ms();
    if (e->node->is_view_stale) {
        return false;
    }
    const cw_pick_query_t query = {
        .prefix = r->prefix_hash, .hall = e->node->hall, .exclude = r->excluded_upstream, .version = r->stream_version};
    uint32_t up = cw_pick_choose(s->direct_pick, now_ms, &query);
    if (up == CW_PICK_NONE) {
        return false;
    }
    cw_pick_begin(s->direct_pick, up);
    cancel_slot_request(r);
    assign_seq(r);
    r->grant = ((uint64_t)e->direct_epoch << 32) | ++e->direct_seq;
    r->upstream = cw_pick_at(s->direct_pick, up).spec.id;
    r->is_direct = true;
    r->grant_expires_ms = now_ms + e->node->settings.grant_ms;
    e->stats.direct_grants++;
    request_event(r, CW_EV_GRANT);
    return true;
}

/* Sends a slot request, or assigns a slot directly while the allocator is known to be unresponsive. */
static void request_slot(request_t* r) {
    entry_shard_t* s = &r->entry->shards[r->shard];
    int64_t now_ms = node_now_ms();
    bool is_unresponsive = s->unresponsive_since_ms && now_ms - s->unresponsive_since_ms < ALLOCATOR_RETRY_MS;
    if (is_unresponsive && assign_direct_slot(r)) {
        return;
    }
    assign_seq(r);
    send_slot_request(r);
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
        send_slot_request(r);
    }
}

/* -- slot release --------------------------------------------------------- */

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

/* -- attempt at an upstream ----------------------------------------------- */

/* Whether the upstream may continue the request's stream. */
static bool can_continue(const request_t* r, uint64_t upstream) {
    cw_snapshot_t* newest = cw_store_snapshot(r->entry->node->store);
    const cw_upstream_t* u = cw_snapshot_upstream(newest, upstream);
    bool result = !r->stream_version || !u || u->version_id == r->stream_version;
    cw_snapshot_release(newest);
    return result;
}

/* Called before the first byte is sent; false vetoes the attempt, since the grant has expired. */
static bool on_sending(void* user) {
    request_t* r = user;
    if (node_now_ms() > r->grant_expires_ms) {
        return false;
    }
    r->sent_ms = node_now_ms();
    r->last_progress_ms = r->sent_ms;
    request_event(r, CW_EV_SENDING);
    return true;
}

static void begin_stream(request_t* r) {
    const cw_header_t headers[] = {
        {"Content-Type", sse_type}, {"Cache-Control", "no-cache"}, {"Chalkway-Request-Id", r->id}};
    r->is_streaming = true;
    cw_exchange_stream(r->x, HTTP_OK, headers, 3);
}

static void on_head(void* user, unsigned status, const char* content_type) {
    request_t* r = user;
    r->upstream_status = status;
    cw_copy(r->upstream_type, sizeof(r->upstream_type), content_type);
    r->first_byte_ms = r->first_byte_ms ? r->first_byte_ms : node_now_ms();
    request_event(r, CW_EV_RESPONSE_HEAD);
    bool stream = status == HTTP_OK && strncmp(content_type, sse_type, sizeof(sse_type) - 1) == 0;
    if (stream && r->wants_stream && r->x && !r->is_streaming) {
        begin_stream(r);
    }
}

/* Appends to the buffered response. Fails the request and returns false if the response exceeds max_response_bytes. */
static bool buffer_response(request_t* r, const char* data, size_t size) {
    if (r->response.body.size + size <= r->entry->node->settings.max_response_bytes) {
        cw_buffer_add(&r->response.body, data, size);
        return true;
    }
    request_set_error(r, HTTP_BAD_GATEWAY, "answer-too-long", "answer", r->response.peer,
                      "the upstream's answer is longer than max_answer", 0);
    r->machine.is_retry_allowed = false;
    request_event(r, CW_EV_UPSTREAM_FAILED);
    return false;
}

/* Forwards the events that are complete; the start of an incomplete one stays in partial_event. */
static void forward_events(request_t* r, const char* data, size_t size) {
    cw_buffer_add(&r->partial_event, data, size);
    size_t complete_bytes = cw_token_stream_take(&r->stream, r->partial_event.data, r->partial_event.size);
    if (!complete_bytes) {
        return;
    }
    if (r->x) {
        r->stream_version = r->stream_version ? r->stream_version : r->upstream_version;
        cw_exchange_push(r->x, r->partial_event.data, complete_bytes);
        request_event(r, CW_EV_BODY_FORWARDED);
    }
    cw_buffer_consume(&r->partial_event, complete_bytes);
}

static bool on_data(void* user, const char* data, size_t size) {
    request_t* r = user;
    if (r->is_streaming && r->x && cw_exchange_pending(r->x) > STREAM_HIGH_WATER_BYTES) {
        r->is_upstream_paused = true;
        return false;
    }
    r->last_progress_ms = node_now_ms();
    if (!r->is_streaming || r->runonce_record != CW_RUN_NONE) {
        if (!buffer_response(r, data, size)) {
            return true;
        }
    }
    if (r->is_streaming) {
        forward_events(r, data, size);
    }
    return true;
}

/* Returns the number of generated tokens that the response states, or 0. */
static uint32_t parse_completion_tokens(const response_t* response) {
    json_t* root = json_loadb(cw_buffer_text(&response->body), response->body.size, 0, NULL);
    json_int_t tokens = json_integer_value(json_object_get(json_object_get(root, "usage"), "completion_tokens"));
    json_decref(root);
    return tokens > 0 ? (uint32_t)tokens : 0;
}

/* Updates the estimates of cost and run time of the request's class and pool from a completed attempt. */
static void update_estimates(request_t* r) {
    uint32_t output = r->stream.tokens;
    if (r->pool->is_engine && !r->is_streaming) {
        output = parse_completion_tokens(&r->response);
    }
    if (output) {
        cw_estimate_add(&r->estimate->cost, output);
        r->cost = (uint32_t)(r->body_size / 32) + output;
    }
    cw_estimate_add(&r->estimate->run_time_ms, (uint32_t)(node_now_ms() - r->sent_ms));
}

static void attempt_ended(request_t* r) {
    response_t* response = &r->response;
    response->status = r->upstream_status;
    cw_copy(response->type, sizeof(response->type), r->upstream_type);
    bool is_served = r->upstream_status < HTTP_SERVER_ERROR;
    if (is_served) {
        update_estimates(r);
    }
    request_event(r, CW_EV_RESPONSE_END);
}

/* A run aborted at its deadline shows that requests of its class and pool can take at least as long. */
static void update_estimate_at_deadline(request_t* r) {
    if (r->sent_ms && r->grant) {
        cw_estimate_add(&r->estimate->run_time_ms, (uint32_t)(node_now_ms() - r->sent_ms));
    }
}

static void attempt_failed(request_t* r, const cw_call_result_t* result) {
    const cw_upstream_t* u = cw_snapshot_upstream(r->snapshot, r->upstream);
    const char* step = !result->sent ? "connect" : result->status ? "answer" : "wait";
    request_set_error(r, HTTP_BAD_GATEWAY, "upstream-failed", step, u ? u->address : "", result->message, 0);
    cw_log(&r->entry->node->log, CW_EVENT_UPSTREAM_FAILED, "id=%s step=%s peer=%s reason=\"%s\"", r->id, step,
           u ? u->address : "-", result->message);
    r->excluded_upstream = r->upstream;
    r->first_shard = r->shard;
    r->machine.is_retry_allowed = cw_retry_budget_take(&r->entry->retries);
    r->entry->stats.retries += r->machine.is_retry_allowed;
    request_event(r, result->sent ? CW_EV_UPSTREAM_FAILED : CW_EV_CONNECT_FAILED);
}

static void on_done(void* user, const cw_call_result_t* result) {
    request_t* r = user;
    r->call = NULL;
    r->upstream_status = result->status ? result->status : r->upstream_status;
    /* The end event of a stream shows its end whatever the framing. */
    bool is_response_complete =
        r->is_streaming ? r->stream.ended && (result->is_complete || result->is_unframed) : result->is_complete;
    bool is_busy = is_response_complete && result->status == HTTP_UNAVAILABLE && r->class->repeatable;
    if (result->is_vetoed) {
        request_event(r, CW_EV_GRANT_EXPIRED);
    } else if (is_busy) {
        const cw_call_result_t refused = {
            .sent = true, .status = result->status, .message = "the upstream takes no work"};
        attempt_failed(r, &refused);
    } else if (is_response_complete) {
        attempt_ended(r);
    } else {
        attempt_failed(r, result);
    }
}

static void connect_upstream(request_t* r) {
    entry_t* e = r->entry;
    cw_snapshot_t* newest = cw_store_snapshot(e->node->store);
    const cw_upstream_t* u = cw_snapshot_upstream(newest, r->upstream);
    if (!u) {
        u = cw_snapshot_upstream(r->snapshot, r->upstream); /* removed after this request arrived */
    }
    r->upstream_version = u ? u->version_id : 0;
    char url[CW_ADDRESS_MAX + 300];
    char tier[8];
    char from[16];
    snprintf(url, sizeof(url), "http://%s%s", u ? u->address : "0.0.0.0:1", r->path);
    snprintf(tier, sizeof(tier), "%u", r->class->tier);
    cw_header_t headers[5] = {{"Content-Type", r->type}, {"Chalkway-Request-Id", r->id}, {"Chalkway-Priority", tier}};
    uint32_t count = 3;
    if (r->idempotency_key[0] && u && u->deduplicates_calls) {
        headers[count++] = (cw_header_t){"Idempotency-Key", r->idempotency_key};
    }
    if (r->stream.tokens) {
        snprintf(from, sizeof(from), "%u", r->stream.tokens);
        headers[count++] = (cw_header_t){"Chalkway-Resume-From", from};
        cw_log(&e->node->log, CW_EVENT_STREAM_VERSION, "id=%s pool=%s upstream=%s version_key=%016llx from=%s", r->id,
               r->pool->name, u ? u->name : "-", (unsigned long long)r->stream_version, from);
        e->stats.resumed_streams++;
    }
    cw_snapshot_release(newest);
    r->sent_ms = 0;
    r->partial_event.size = 0;
    r->is_upstream_paused = false;
    r->response.body.size = 0;
    r->call = cw_client_call(e->node->client, &(cw_call_desc_t){.method = r->method,
                                                                .url = url,
                                                                .headers = headers,
                                                                .header_count = count,
                                                                .body = r->body,
                                                                .size = r->body_size,
                                                                .use_new_connection = !r->class->repeatable,
                                                                .on_sending = on_sending,
                                                                .on_head = on_head,
                                                                .on_data = on_data,
                                                                .on_done = on_done,
                                                                .user_data = r});
}

/* -- state machine -------------------------------------------------------- */

/* Result of the attempt, as reported with the release of its slot. */
static cw_pick_result_t slot_result(const request_t* r, cw_request_event_t event) {
    switch (event) {
        case CW_EV_RESPONSE_END:
            return r->upstream_status < HTTP_SERVER_ERROR ? CW_PICK_SERVED : CW_PICK_FAILED;
        case CW_EV_UPSTREAM_FAILED:
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
    }
    if (actions & CW_DO_CONNECT) {
        connect_upstream(r);
    }
    if (actions & CW_DO_RESPOND) {
        request_respond(r);
    }
    if (r->machine.state == CW_REQ_ENDED) {
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
    return r->last_progress_ms + (r->last_progress_ms == r->sent_ms ? s->first_token_timeout_ms : s->stall_ms);
}

static void attempt_stalled(request_t* r) {
    const cw_call_result_t result = {
        .sent = true, .status = r->upstream_status, .message = "no token came for too long"};
    attempt_failed(r, &result);
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
        int64_t resend_ms =
            r->unacknowledged_since_ms ? r->unacknowledged_since_ms + allocator_timeout_ms(r) : r->next_resend_ms;
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
    if (r->joined_record != CW_RUN_NONE) {
        reject_joined_at_deadline(r);
    } else if (r->machine.state == CW_REQ_DETACHED) {
        r->machine.is_retry_allowed = false;
        request_event(r, CW_EV_UPSTREAM_FAILED);
    } else if (now_ms >= r->deadline_ms) {
        request_set_error(r, HTTP_TIMEOUT, "deadline", cw_request_state_name(r->machine.state), NULL,
                          "the deadline has passed", 0);
        update_estimate_at_deadline(r);
        request_event(r, CW_EV_DEADLINE);
    } else if (now_ms >= stall_time_ms(r)) {
        attempt_stalled(r);
    } else if (r->machine.state == CW_REQ_SENT || r->machine.state == CW_REQ_STREAMING) {
        request_arm(r); /* the attempt made progress since the timer was set */
    } else if (r->machine.state == CW_REQ_WAITING) {
        if (r->unacknowledged_since_ms) {
            on_allocator_unresponsive(r, now_ms);
        } else {
            send_slot_request(r);
        }
        if (r->is_used) {
            request_arm(r);
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
    send_digests(e, now_ms);
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
    if (!can_continue(r, a->upstream)) { /* allocators of earlier releases ignore versions */
        const cw_grant_release_t unused = {.grant = a->grant, .result = CW_PICK_UNUSED};
        send_grant_release(e, msg->shard, from, &unused);
        clear_seq(r);
        request_event(r, CW_EV_REFUSED);
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
    request_arm(r);
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
    uint32_t shard = find_shard(e, msg->shard);
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
        send_grant_list(e, shard, from);
        return;
    }
    uint32_t i = cw_map_get(&e->by_seq, a->seq);
    request_t* r = (i == CW_MAP_NONE) ? NULL : &e->requests[i];
    if (a->kind == CW_SHARD_GRANT) {
        on_grant(e, r, from, msg);
    } else if (r && a->kind == CW_SHARD_REFUSE && r->machine.state == CW_REQ_WAITING) {
        on_refusal(r, a);
    } else if (r && a->kind == CW_SHARD_QUEUED && r->machine.state == CW_REQ_WAITING) {
        r->unacknowledged_since_ms = 0;
        r->next_resend_ms = node_now_ms() + SLOT_REQUEST_RESEND_MS;
        request_arm(r);
    } else if (r && a->kind == CW_SHARD_PREEMPT && r->grant == a->grant) {
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
            send_slot_request(r);
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
