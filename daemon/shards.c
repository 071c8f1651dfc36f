/* The shards as the entry sees them: their owners, the choice among them, and the grants that are reported to them. */
#include "entry_internal.h"

#define DIGEST_INTERVAL_MS 20000      /* long, since a release is lost only when a peer connection breaks */
#define REPORTED_WAIT_MAX_AGE_MS 5000 /* older reports of a shard's queue wait are ignored */
#define AFFINITY_MAX_WAIT_MS 200      /* additional queue wait accepted for prefix affinity */

/* -- shards --------------------------------------------------------------- */

uint32_t shards_find(const entry_t* e, uint64_t id) {
    for (uint32_t i = 0; i < e->shard_count; i++) {
        if (e->shards[i].id == id) {
            return i;
        }
    }
    return ENTRY_NONE;
}

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
            uint32_t i = shards_find(e, id);
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
    shards_send_grant_list(e, shard, owner);
    for (uint32_t i = 0; i < e->max_requests; i++) {
        request_t* r = &e->requests[i];
        if (r->is_used && r->shard == shard && r->machine.state == CW_REQ_WAITING && r->seq) {
            dispatch_send_slot_request(r);
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
    return shards_find(e, cw_rendezvous_shard(pool->id, upstream, layout.ids, layout.count, layout.shard_count));
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
            dispatch_request_slot_at_new_shard(r);
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
    suspects_on_cluster_changed(e);
}

static uint32_t recent_wait_ms(const entry_shard_t* s, int64_t now_ms) {
    return (s->last_received_ms && now_ms - s->last_received_ms < REPORTED_WAIT_MAX_AGE_MS) ? s->wait_ms : 0;
}

/* Chooses between the two highest-ranked shards by rendezvous hashing of the prompt prefix, or of a varying key when
   there is no prefix. Returns the one with the shorter queue wait; with a prefix, the second is returned only if its
   wait is shorter by more than AFFINITY_MAX_WAIT_MS, since upstreams of the first may have the prefix cached. */
uint32_t shards_choose(entry_t* e, const request_t* r) {
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

void shards_send_grant_list(entry_t* e, uint32_t shard, uint64_t to) {
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

void shards_send_digests(entry_t* e, int64_t now_ms) {
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
