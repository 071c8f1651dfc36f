/* Allocator: handles slot requests for the shards that this host owns, and polls their upstreams for load reports. */
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "node.h"

#define IDLE_TIMEOUT_MS 60000 /* a shard without messages and running grants is dropped after this time */
#define MAX_ACKS 256          /* slot requests acknowledged per loop iteration */
#define MAX_LOAD_CALLS 128    /* concurrent calls for load reports; further ones wait for the next period */
#define LOAD_CALL_TIMEOUT_MS 2000
#define LOAD_CALL_INTERVAL_MS 400 /* average interval between two calls of one shard */
#define REFUSAL_RETRY_AFTER_MS 1000

/* A shard that this host allocates. */
typedef struct owned_shard_t {
    uint64_t id;
    uint64_t pool;
    cw_shard_t* shard;
    int64_t last_used_ms;
    int64_t next_report_ms;   /* when to request the next load reports */
    bool has_pending_actions; /* the shard got messages and may have actions to send */
    uint32_t shard_count;     /* number of shards in the pool */
} owned_shard_t;

/* Acknowledgement or refusal of a slot request received in this loop iteration. It is sent at the end of the iteration,
   never from within the handler of the request. */
typedef struct ack_t {
    uint64_t shard, entry;
    uint32_t seq;
    cw_refusal_t refusal; /* why the request was not queued; CW_REFUSED_NONE: it was queued */
} ack_t;

/* A call that requests an upstream's load report. */
typedef struct load_call_t {
    node_t* node;
    cw_call_t* call; /* NULL: this element is unused */
    uint64_t shard, upstream;
    char body[512];
    size_t size;
} load_call_t;

struct allocator_t {
    node_t* node;
    owned_shard_t owned_shards[NODE_MAX_SHARDS];
    uint32_t count;
    ack_t acks[MAX_ACKS];
    uint32_t ack_count;
    ev_prepare prepare;
    load_call_t load_calls[MAX_LOAD_CALLS];
    cw_msg_t out;
};

/* -- shards --------------------------------------------------------------- */

static owned_shard_t* find_owned_shard(allocator_t* a, uint64_t shard) {
    for (uint32_t i = 0; i < a->count; i++) {
        if (a->owned_shards[i].id == shard) {
            return &a->owned_shards[i];
        }
    }
    return NULL;
}

/* Sets the shard's upstreams from the configuration and returns their number. */
static uint32_t set_shard_upstreams(const node_t* node, owned_shard_t* owned, const cw_snapshot_t* snapshot,
                                    const cw_pool_t* pool) {
    cw_pick_spec_t specs[CW_PICK_MAX];
    pool_layout_t layout = node_pool_layout(snapshot, pool);
    owned->shard_count = layout.shard_count;
    uint32_t count = node_shard_specs(node, snapshot, &layout, owned->id, node->policy == POLICY_LEASE, specs);
    cw_shard_set_upstreams(owned->shard, specs, count);
    return count;
}

/* Limits the shard to this host's side of a network partition. A host that the platform lists and that is dead in this
   host's view may still serve callers on the other side, with an allocator of its own. So this side uses only the share
   of the limits that equals its share of the listed hosts. A host that refuses connections counts as seen: its process
   has ended, so it cannot be serving. */
static void set_visible_share(const node_t* node, const owned_shard_t* owned) {
    uint32_t router_count = 0;
    uint32_t visible_count = 0;
    for (uint32_t i = 0; i < node->listed_host_count; i++) {
        const listed_host_t* h = &node->listed_hosts[i];
        if (!h->is_router || h->leaving) {
            continue;
        }
        const cw_member_t* m = cw_members_find(node->members, h->id);
        router_count++;
        visible_count += m && (m->info.state != CW_MEMBER_DEAD || m->has_refused_connection);
    }
    cw_shard_set_visible_entries(owned->shard, visible_count, router_count);
}

/* Returns the pool that has a shard of this id, or NULL. */
static const cw_pool_t* find_pool_of_shard(const cw_snapshot_t* snapshot, uint64_t shard) {
    for (uint32_t i = 0; i < snapshot->pool_count; i++) {
        pool_layout_t layout = node_pool_layout(snapshot, &snapshot->pools[i]);
        for (uint32_t k = 0; layout.count && k < layout.shard_count; k++) {
            if (cw_rendezvous_shard_id(snapshot->pools[i].id, k) == shard) {
                return &snapshot->pools[i];
            }
        }
    }
    return NULL;
}

/* Begins to allocate a shard. Until every entry has reported its running grants, and for at most grant_ms, the shard
   uses only the share of its limits that equals the share of entries that have reported. */
static owned_shard_t* add_owned_shard(allocator_t* a, uint64_t shard) {
    node_t* node = a->node;
    cw_snapshot_t* snapshot = cw_store_snapshot(node->store);
    const cw_pool_t* pool = find_pool_of_shard(snapshot, shard);
    owned_shard_t* owned = NULL;
    if (pool && a->count < NODE_MAX_SHARDS) {
        owned = &a->owned_shards[a->count++];
        int64_t now_ms = node_now_ms();
        uint64_t hosts[NODE_MAX_HOSTS];
        cw_shard_desc_t desc = {.epoch = randombytes_random() | 1,
                                .max_waiting = node->settings.max_waiting,
                                .ttl_ms = node->settings.grant_ms,
                                .lease_ms = node->settings.lease_ms,
                                .reserve = pool->reserve,
                                .pick = {.counts_reported = node->policy == POLICY_SOLO,
                                         .is_round_robin = node->policy == POLICY_ROUND_ROBIN}};
        for (uint32_t t = 0; t < CW_TIERS; t++) {
            desc.floor[t] = pool->floor[t];
        }
        *owned = (owned_shard_t){.id = shard, .pool = pool->id, .shard = cw_shard_setup(&desc)};
        owned->last_used_ms = now_ms;
        uint32_t count = set_shard_upstreams(node, owned, snapshot, pool);
        set_visible_share(node, owned);
        uint32_t host_count = node->policy == POLICY_SHARED ? node_list_live_hosts(node, hosts) : 0;
        cw_shard_begin_takeover(owned->shard, now_ms + node->settings.grant_ms, host_count);
        for (uint32_t i = 0; i < host_count; i++) {
            cw_shard_request_resync(owned->shard, now_ms, hosts[i]);
        }
        cw_log(&node->log, CW_EVENT_SHARD_TAKEN, "shard=%016llx pool=%s upstreams=%u", (unsigned long long)shard,
               pool->name, count);
    }
    cw_snapshot_release(snapshot);
    return owned;
}

static void drop_shard(allocator_t* a, owned_shard_t* owned) {
    cw_log(&a->node->log, CW_EVENT_SHARD_LEFT, "shard=%016llx", (unsigned long long)owned->id);
    cw_shard_shutdown(owned->shard);
    *owned = a->owned_shards[--a->count];
}

/* -- sending -------------------------------------------------------------- */

static void send_action(allocator_t* a, const owned_shard_t* owned, const cw_shard_action_t* action, int64_t now_ms) {
    a->out.type = CW_MSG_ACTION;
    a->out.shard = owned->id;
    a->out.action = *action;
    a->out.wait_ms = cw_shard_stats(owned->shard, now_ms).wait_ms;
    node_send(a->node, action->entry, &a->out);
}

static void send_pending_actions(allocator_t* a, owned_shard_t* owned) {
    int64_t now_ms = node_now_ms();
    cw_shard_action_t action;
    owned->has_pending_actions = false;
    while (cw_shard_next_action(owned->shard, now_ms, &action)) {
        send_action(a, owned, &action, now_ms);
    }
}

/* Refuses a slot request that was not queued. */
static void send_refusal(allocator_t* a, const ack_t* ack) {
    a->out.type = CW_MSG_ACTION;
    a->out.shard = ack->shard;
    a->out.action = (cw_shard_action_t){.kind = CW_SHARD_REFUSE,
                                        .entry = ack->entry,
                                        .seq = ack->seq,
                                        .refusal = ack->refusal,
                                        .retry_after_ms = REFUSAL_RETRY_AFTER_MS};
    a->out.wait_ms = 0;
    node_send(a->node, ack->entry, &a->out);
}

/* Runs at the end of a loop iteration: sends the actions of every shard that got messages, then acknowledges the slot
   requests that remain queued. */
static void on_prepare(struct ev_loop* loop, ev_prepare* w, int events) {
    (void)loop;
    (void)events;
    allocator_t* a = w->data;
    for (uint32_t i = 0; i < a->count; i++) {
        if (a->owned_shards[i].has_pending_actions) {
            send_pending_actions(a, &a->owned_shards[i]);
        }
    }
    uint32_t count = a->ack_count;
    a->ack_count = 0;
    for (uint32_t i = 0; i < count; i++) {
        owned_shard_t* owned = find_owned_shard(a, a->acks[i].shard);
        if (a->acks[i].refusal) {
            send_refusal(a, &a->acks[i]);
        } else if (owned && cw_shard_is_queued(owned->shard, a->acks[i].entry, a->acks[i].seq)) {
            const cw_shard_action_t action = {
                .kind = CW_SHARD_QUEUED, .entry = a->acks[i].entry, .seq = a->acks[i].seq};
            send_action(a, owned, &action, node_now_ms());
        }
    }
}

/* -- messages ------------------------------------------------------------- */

/* Schedules an acknowledgement for the end of the loop iteration. If the list is full, the acknowledgement is dropped
   and the entry resends its slot request. */
static void queue_ack(allocator_t* a, uint64_t shard, uint64_t entry, uint32_t seq, cw_refusal_t refusal) {
    if (a->ack_count < MAX_ACKS) {
        a->acks[a->ack_count++] = (ack_t){.shard = shard, .entry = entry, .seq = seq, .refusal = refusal};
        ev_feed_event(a->node->loop, &a->prepare, EV_PREPARE);
    }
}

/* Sets the hard limits of the workspace. Each shard of a pool enforces an even share of them. */
static void add_workspace_limits(const allocator_t* a, const owned_shard_t* owned, cw_slot_request_t* slot_request) {
    cw_snapshot_t* snapshot = cw_store_snapshot(a->node->store);
    const cw_workspace_t* workspace = cw_snapshot_workspace(snapshot, slot_request->workspace);
    slot_request->max_running = 0;
    slot_request->max_rate = 0;
    if (workspace) {
        slot_request->max_running =
            workspace->concurrency ? (workspace->concurrency + owned->shard_count - 1) / owned->shard_count : 0;
        slot_request->max_rate = workspace->rate / owned->shard_count;
    }
    cw_snapshot_release(snapshot);
}

static void on_slot_request(allocator_t* a, owned_shard_t* owned, uint64_t from, const cw_slot_request_t* slot_request,
                            int64_t now_ms) {
    cw_slot_request_t limited = *slot_request;
    limited.entry = from;
    add_workspace_limits(a, owned, &limited);
    cw_status_t status = cw_shard_request_slot(owned->shard, now_ms, &limited);
    queue_ack(a, owned->id, from, limited.seq, status == CW_OK ? CW_REFUSED_NONE : CW_REFUSED_FULL);
}

void allocator_on_message(allocator_t* a, uint64_t from, const cw_msg_t* msg) {
    int64_t now_ms = node_now_ms();
    owned_shard_t* owned = find_owned_shard(a, msg->shard);
    if (!owned && msg->type != CW_MSG_GRANT_RELEASE && msg->type != CW_MSG_CANCEL) {
        owned = add_owned_shard(a, msg->shard);
    }
    if (!owned) {
        return; /* the entry's configuration is newer or older than this host's; it resends when there is no response */
    }
    owned->last_used_ms = now_ms;
    owned->has_pending_actions = true;
    ev_feed_event(a->node->loop, &a->prepare, EV_PREPARE);
    cw_grant_digest_t digest;
    switch (msg->type) {
        case CW_MSG_SLOT_REQUEST:
            on_slot_request(a, owned, from, &msg->slot_request, now_ms);
            break;
        case CW_MSG_CANCEL:
            cw_shard_cancel_request(owned->shard, from, msg->cancel_seq);
            break;
        case CW_MSG_GRANT_RELEASE:
            cw_shard_release_grant(owned->shard, now_ms, &msg->grant_release);
            break;
        case CW_MSG_GRANT_DIGEST:
            digest = msg->digest;
            digest.entry = from;
            cw_shard_check_digest(owned->shard, now_ms, &digest);
            break;
        case CW_MSG_GRANT_LIST:
            digest = msg->digest;
            digest.entry = from;
            cw_shard_sync_grants(owned->shard, now_ms, &digest, msg->held, msg->held_count);
            break;
        default:
            break;
    }
}

void allocator_on_cluster_changed(allocator_t* a) {
    cw_snapshot_t* snapshot = cw_store_snapshot(a->node->store);
    int64_t now_ms = node_now_ms();
    for (uint32_t i = a->count; i-- > 0;) {
        owned_shard_t* owned = &a->owned_shards[i];
        const cw_pool_t* pool = cw_snapshot_pool(snapshot, owned->pool);
        if (!pool || find_pool_of_shard(snapshot, owned->id) != pool) {
            drop_shard(a, owned);
            continue;
        }
        set_shard_upstreams(a->node, owned, snapshot, pool);
        set_visible_share(a->node, owned);
        owned->has_pending_actions = true;
        for (uint32_t m = 1; m < cw_members_count(a->node->members); m++) {
            const cw_member_t* member = cw_members_at(a->node->members, m);
            if (member->info.state == CW_MEMBER_DEAD) {
                cw_shard_entry_failed(owned->shard, now_ms, member->info.id);
            }
        }
    }
    cw_snapshot_release(snapshot);
}

/* -- load reports --------------------------------------------------------- */

static bool on_load_data(void* user, const char* data, size_t size) {
    load_call_t* load_call = user;
    memcpy(load_call->body + load_call->size, data, size); /* max_body_bytes is the size of body */
    load_call->size += size;
    return true;
}

static void on_load_done(void* user, const cw_call_result_t* result) {
    load_call_t* load_call = user;
    owned_shard_t* owned = find_owned_shard(load_call->node->allocator, load_call->shard);
    json_t* root = (owned && result->is_complete) ? json_loadb(load_call->body, load_call->size, 0, NULL) : NULL;
    if (root) {
        bool is_draining = json_is_true(json_object_get(root, "draining"));
        json_int_t running = json_integer_value(json_object_get(root, "running"));
        cw_shard_report_load(owned->shard, node_now_ms(), load_call->upstream, (uint32_t)running, is_draining);
        const char* version = json_string_value(json_object_get(root, "version"));
        cw_shard_report_version(owned->shard, load_call->upstream, version && version[0] ? cw_name_id(version) : 0);
        json_decref(root);
    }
    load_call->call = NULL;
}

static load_call_t* find_free_load_call(allocator_t* a) {
    for (uint32_t i = 0; i < MAX_LOAD_CALLS; i++) {
        if (!a->load_calls[i].call) {
            return &a->load_calls[i];
        }
    }
    return NULL;
}

static void request_load_reports(allocator_t* a, const owned_shard_t* owned) {
    cw_snapshot_t* snapshot = cw_store_snapshot(a->node->store);
    for (uint32_t i = 0; i < snapshot->upstream_count; i++) {
        const cw_upstream_t* u = &snapshot->upstreams[i];
        if (u->pool_id != owned->pool || !cw_shard_has_upstream(owned->shard, u->id)) {
            continue;
        }
        load_call_t* load_call = find_free_load_call(a);
        if (!load_call) {
            break;
        }
        *load_call = (load_call_t){.node = a->node, .shard = owned->id, .upstream = u->id};
        char url[CW_ADDRESS_MAX + 32];
        snprintf(url, sizeof(url), "http://%s/v1/load", u->address);
        load_call->call = cw_client_call(a->node->client, &(cw_call_desc_t){.url = url,
                                                                            .timeout_ms = LOAD_CALL_TIMEOUT_MS,
                                                                            .max_body_bytes = sizeof(load_call->body),
                                                                            .on_data = on_load_data,
                                                                            .on_done = on_load_done,
                                                                            .user_data = load_call});
    }
    cw_snapshot_release(snapshot);
}

/* Returns the time between two load reports of an upstream, in milliseconds. It grows with the shard, so that the
   traffic of load reports stays within its budget of bytes per second. */
static int64_t load_report_period_ms(const allocator_t* a, const owned_shard_t* owned) {
    int64_t period_ms = (int64_t)cw_shard_upstream_count(owned->shard) * LOAD_CALL_INTERVAL_MS;
    return period_ms > a->node->settings.load_poll_interval_ms ? period_ms : a->node->settings.load_poll_interval_ms;
}

void allocator_tick(allocator_t* a, int64_t now_ms) {
    for (uint32_t i = a->count; i-- > 0;) {
        owned_shard_t* owned = &a->owned_shards[i];
        if (now_ms - owned->last_used_ms > IDLE_TIMEOUT_MS && !cw_shard_stats(owned->shard, now_ms).running) {
            drop_shard(a, owned);
            continue;
        }
        if (now_ms >= owned->next_report_ms) {
            owned->next_report_ms = now_ms + load_report_period_ms(a, owned);
            request_load_reports(a, owned);
        }
        send_pending_actions(a, owned);
    }
}

/* -- setup ---------------------------------------------------------------- */

allocator_t* allocator_setup(node_t* node) {
    allocator_t* a = cw_alloc(NULL, 1, sizeof(*a));
    a->node = node;
    ev_prepare_init(&a->prepare, on_prepare);
    /* Runs after all messages of the iteration are handled and before responses are written. */
    ev_set_priority(&a->prepare, EV_MINPRI + 1);
    a->prepare.data = a;
    ev_prepare_start(node->loop, &a->prepare);
    return a;
}

void allocator_shutdown(allocator_t* a) {
    ev_prepare_stop(a->node->loop, &a->prepare);
    for (uint32_t i = 0; i < a->count; i++) {
        cw_shard_shutdown(a->owned_shards[i].shard);
    }
    free(a);
}

uint32_t allocator_count(const allocator_t* a) {
    return a->count;
}

cw_shard_stats_t allocator_stats(const allocator_t* a, uint32_t index, uint64_t* shard, uint64_t* pool) {
    *shard = a->owned_shards[index].id;
    *pool = a->owned_shards[index].pool;
    return cw_shard_stats(a->owned_shards[index].shard, node_now_ms());
}
