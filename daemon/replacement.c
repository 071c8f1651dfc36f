/* Replacement of a silent attempt: a slot is requested for the next attempt while the current one still runs. The
   current one ends when that slot is granted, and stays if its response goes on first. */
#include "entry_internal.h"

#define SEEK_INTERVAL_MS 250 /* between two slot requests for the same replacement */

/* The pool's shard after the given one, in cyclic order. */
static uint32_t shard_after(const request_t* r, uint32_t shard) {
    const entry_t* e = r->entry;
    for (uint32_t k = 1; k <= e->shard_count; k++) {
        uint32_t i = (shard + k) % e->shard_count;
        if (e->shards[i].is_current && e->shards[i].pool == r->pool->id) {
            return i;
        }
    }
    return r->shard;
}

/* Requests a slot, or the state of the request that was sent: the allocator recognizes it by its sequence number. */
static void request_slot(request_t* r) {
    replacement_t* slot = &r->replacement;
    if (!slot->seq) {
        uint32_t refused_by = slot->last_refused_by;
        bool is_own_shard = !refused_by && r->entry->shards[r->shard].is_current;
        slot->shard = is_own_shard ? r->shard : shard_after(r, refused_by ? refused_by - 1 : r->shard);
        slot->seq = dispatch_next_seq(r);
    }
    slot->is_acknowledged = false;
    r->next_seek_ms = node_now_ms() + SEEK_INTERVAL_MS;
    dispatch_request_replacement(r);
}

void replacement_seek(request_t* r) {
    bool is_unanswered = r->replacement.seq && !r->replacement.is_acknowledged;
    if (!r->machine.repeatable || r->machine.attempts >= r->machine.max_attempts) {
        r->next_seek_ms = r->deadline_ms;
        return;
    }
    if (is_unanswered) {
        replacement_cancel(r);
    }
    /* While the allocator does not respond, a slot of this entry's static share may serve. */
    if (is_unanswered && dispatch_has_other_direct_slot(r)) {
        attempt_stalled(r);
    } else {
        request_slot(r);
    }
}

void replacement_cancel(request_t* r) {
    replacement_t* slot = &r->replacement;
    if (slot->seq && !slot->grant) {
        dispatch_send_cancel(r->entry, slot->shard, slot->seq);
    }
    if (slot->grant) {
        dispatch_release_unused(r->entry, slot->shard, slot->grant);
    }
    if (slot->seq) {
        cw_map_remove(&r->entry->by_seq, slot->seq);
    }
    *slot = (replacement_t){0};
    r->next_seek_ms = 0;
}

void replacement_on_action(request_t* r, const cw_shard_action_t* a) {
    replacement_t* slot = &r->replacement;
    entry_t* e = r->entry;
    if (a->kind == CW_SHARD_QUEUED) {
        slot->is_acknowledged = true;
    } else if (a->kind == CW_SHARD_REFUSE) {
        uint32_t refused_by = slot->shard + 1;
        cw_map_remove(&e->by_seq, slot->seq);
        *slot = (replacement_t){.last_refused_by = refused_by};
    } else if (a->kind == CW_SHARD_GRANT) {
        slot->grant = a->grant;
        slot->upstream = a->upstream;
        slot->expires_ms = node_now_ms() + a->ttl_ms;
        if (a->upstream != r->upstream && cw_retry_budget_take(&e->retries)) {
            e->stats.retries++;
            attempt_replaced(r);
            return;
        }
        uint32_t shard = slot->shard + 1;
        replacement_cancel(r);
        slot->last_refused_by = shard;
        r->next_seek_ms = node_now_ms() + SEEK_INTERVAL_MS;
    }
    request_arm(r);
}

bool replacement_use(request_t* r) {
    replacement_t slot = r->replacement;
    if (!slot.grant) {
        return false;
    }
    r->replacement = (replacement_t){0};
    r->next_seek_ms = 0;
    r->shard = r->first_shard = slot.shard;
    r->seq = slot.seq;
    r->grant = slot.grant;
    r->upstream = slot.upstream;
    r->is_direct = false;
    r->grant_expires_ms = slot.expires_ms;
    request_event(r, CW_EV_GRANT);
    return true;
}
