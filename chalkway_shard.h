#ifndef CHALKWAY_SHARD_H
#define CHALKWAY_SHARD_H
/*
    chalkway_shard.h -- slot allocator of one shard, with one queue for all
    entries

    WHAT IT IS
        A shard is a group of upstreams of one pool. An entry is a host that
        accepts requests from callers. Every entry sends its slot requests
        for the shard to the one host that runs the shard's allocator, which
        orders them all:

          - four priority tiers in strict order. Each lower tier has a floor:
            a minimum share of the served cost while it has requests waiting.
            Serving the floor delays the tiers above but never refuses them;
          - within a tier, workspaces share fairly, see chalkway_fair.h;
          - requests that resume a stream, which need an upstream of one
            version, wait apart from the tiers and precede them;
          - upstreams are chosen by chalkway_pick.h, with exact slot counts.

        A grant is a lease on one slot. The entry must use it within ttl_ms
        and holds it until it releases it, or until the lease of the entry
        expires. Entries periodically send a digest (count and xor of grant
        ids) of the grants they hold. When it differs from the allocator's
        own, the allocator requests the full list. A new allocator adopts the
        grants that entries report and uses only a share of the slots until
        they have reported.

        The allocator refuses a request immediately when the estimated wait
        exceeds what the class's queue time or the deadline allow, or when the
        queue is full. In a full queue, a request evicts an unprotected one of
        a lower tier. Refusals carry a retry delay.

    HOW TO USE IT
        The owner passes in the time and sends the actions; the allocator
        has no socket and no clock:

            cw_shard_t* shard = cw_shard_setup(&(cw_shard_desc_t){.epoch = random});
            cw_shard_set_upstreams(shard, specs, count);
            cw_shard_request_slot(shard, now_ms, &slot_request);
            cw_shard_action_t action;
            while (cw_shard_next_action(shard, now_ms, &action)) {
                send(&action);              // grant, refuse, preempt or resync
            }
            cw_shard_release_grant(shard, now_ms, &release);

    WHAT IT DOES NOT DO
        It does not deliver messages, and does not decide which host runs
        the shard: see chalkway_rendezvous.h.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_fair.h"
#include "chalkway_limit.h"
#include "chalkway_pick.h"

#define CW_TIERS 4

enum {
    CW_SLOT_REQUEST_PROTECTED = 1,  /* never refused or preempted in favour of a lower tier */
    CW_SLOT_REQUEST_PREEMPTIBLE = 2 /* may be cancelled while it runs */
};

/* Request of an entry for one slot. Times are relative, so that the hosts' clocks need not agree. */
typedef struct cw_slot_request_t {
    uint64_t entry;        /* host that accepted the caller's request */
    uint32_t seq;          /* sequence number assigned by the entry, not 0 */
    uint8_t tier;          /* 0 is the highest */
    uint8_t flags;         /* CW_SLOT_REQUEST_PROTECTED, CW_SLOT_REQUEST_PREEMPTIBLE */
    uint32_t weight;       /* of the workspace, 0 counts as 1 */
    uint64_t workspace;    /* id */
    uint32_t cost;         /* estimated, in cost units (tokens) */
    uint32_t est_ms;       /* estimated mean run time */
    uint32_t high_est_ms;  /* run time that covers most requests of its kind, 0: est_ms */
    uint32_t queue_ms;     /* longest wait that the class allows */
    uint32_t remaining_ms; /* until the whole response is due */
    uint64_t prefix;       /* hash of the prompt's prefix, 0: none */
    uint64_t exclude;      /* upstream to avoid, 0: none */
    uint64_t version;      /* version that the upstream must have, since it resumes a stream; 0: any */
    uint64_t hall;         /* of the entry */
    /* Hard limits of the workspace at this shard, set by the allocator's host from its configuration. */
    uint32_t max_running; /* grants held at once, 0: no limit */
    double max_rate;      /* slot requests per second, 0: no limit */
} cw_slot_request_t;

typedef enum cw_refusal_t {
    CW_REFUSED_NONE = 0,
    CW_REFUSED_LATE,    /* the estimated run time exceeds the time to the deadline */
    CW_REFUSED_BUSY,    /* the wait exceeds what the class or the deadline allows */
    CW_REFUSED_EVICTED, /* evicted from the queue by a request of a higher tier */
    CW_REFUSED_FULL,    /* the queue is full */
    CW_REFUSED_NO_UPSTREAM,
    CW_REFUSED_RATE, /* the workspace exceeds its request rate */
    CW_REFUSED_COUNT
} cw_refusal_t;

typedef enum cw_shard_action_kind_t {
    CW_SHARD_GRANT = 1,
    CW_SHARD_REFUSE,
    CW_SHARD_PREEMPT, /* cancel a running request; its slot is freed when the entry releases the grant */
    CW_SHARD_RESYNC,  /* the entry must send the list of its grants */
    CW_SHARD_QUEUED /* the request is queued; the allocator's host sends this as a keep-alive, see cw_shard_is_queued */
} cw_shard_action_kind_t;

typedef struct cw_shard_action_t {
    cw_shard_action_kind_t kind;
    uint64_t entry;
    uint32_t seq;            /* of the slot request */
    uint64_t grant;          /* grant, preempt: id of the grant */
    uint64_t upstream;       /* grant: id of the upstream */
    uint32_t queued_ms;      /* grant: time for which the request was queued here */
    uint32_t ttl_ms;         /* grant: must be used within queued_ms + ttl_ms after the request was sent */
    cw_refusal_t refusal;    /* refuse: reason */
    uint32_t retry_after_ms; /* refuse: retry delay; 0: a retry cannot meet this deadline either */
} cw_shard_action_t;

/* Release of a grant by its entry. */
typedef struct cw_grant_release_t {
    uint64_t grant;
    cw_pick_result_t result;
    uint32_t took_ms; /* run time */
    uint32_t cost;    /* actual, in cost units */
} cw_grant_release_t;

/* A grant that an entry holds, as listed for the allocator. */
typedef struct cw_held_grant_t {
    uint64_t grant;
    uint64_t upstream;
    uint64_t workspace;
    uint32_t seq;
    uint32_t cost;
    uint8_t tier;
    uint8_t flags;
} cw_held_grant_t;

/* Digest of all grants that an entry holds from one allocator. */
typedef struct cw_grant_digest_t {
    uint64_t entry;
    uint64_t last;    /* latest grant received from this allocator, 0: none */
    uint64_t ids_xor; /* xor of the ids of the grants held */
    uint32_t count;
} cw_grant_digest_t;

typedef struct cw_shard_desc_t {
    uint32_t epoch;          /* random number of this allocator instance, part of every grant id */
    uint32_t max_waiting;    /* default 4096 */
    uint32_t max_grants;     /* default 4096 */
    uint32_t max_workspaces; /* default 1024 */
    uint32_t max_entries;    /* default 512 */
    uint32_t ttl_ms;         /* time in which an entry must use a grant, default 500 */
    uint32_t lease_ms;       /* time without a message after which an entry's grants are reclaimed, default 60000 */
    uint32_t preempt_ms;     /* wait of a protected request before a lower tier is preempted, default 100 */
    double floor[CW_TIERS];  /* minimum share of the served cost while the tier waits, default 0, .10, .05, .02 */
    uint32_t reserve;        /* slots kept free for protected requests, default 0 */
    cw_pick_desc_t pick;
    cw_allocator_t allocator;
} cw_shard_desc_t;

typedef struct cw_shard_stats_t {
    uint64_t requests, grants, refusals, evictions, preemptions, reclaimed, adopted;
    uint32_t waiting, running, limit;
    uint32_t wait_ms; /* estimated wait of a new request of the lowest tier */
    double served_cost[CW_TIERS];
} cw_shard_stats_t;

typedef struct cw_shard_t cw_shard_t;

cw_shard_t* cw_shard_setup(const cw_shard_desc_t* desc);
void cw_shard_shutdown(cw_shard_t* shard);
/* Replaces the upstreams. Grants on an upstream that was removed stay valid until released. */
cw_status_t cw_shard_set_upstreams(cw_shard_t* shard, const cw_pick_spec_t* specs, uint32_t count);
/* During a network partition, limits the slots to the share of published entries on this side: seen / published. */
void cw_shard_set_visible_entries(cw_shard_t* shard, uint32_t seen, uint32_t published);
/* Starts the takeover of a shard: until until_ms, or until all expected entries have reported the grants they hold,
   limits the slots to the share of expected entries that have. */
void cw_shard_begin_takeover(cw_shard_t* shard, int64_t until_ms, uint32_t expected_entries);
/* Requests the entry's list of grants (CW_SHARD_RESYNC). */
void cw_shard_request_resync(cw_shard_t* shard, int64_t now_ms, uint64_t entry);
/* Queues or refuses the request; cw_shard_next_action returns the result. Idempotent: a retransmitted request (same
   entry and seq) that was granted gets the same grant again. CW_ERR_FULL: the caller must refuse it. */
cw_status_t cw_shard_request_slot(cw_shard_t* shard, int64_t now_ms, const cw_slot_request_t* slot_request);
/* Removes the request from the queue; does nothing when it is not queued. */
void cw_shard_cancel_request(cw_shard_t* shard, uint64_t entry, uint32_t seq);
/* Whether the request is in the queue. */
bool cw_shard_is_queued(const cw_shard_t* shard, uint64_t entry, uint32_t seq);
uint32_t cw_shard_upstream_count(const cw_shard_t* shard);
/* Whether the upstream belongs to the shard. */
bool cw_shard_has_upstream(const cw_shard_t* shard, uint64_t upstream);
/* Returns CW_ERR_NOT_FOUND for a grant that has already ended. */
cw_status_t cw_shard_release_grant(cw_shard_t* shard, int64_t now_ms, const cw_grant_release_t* release);
/* Renews the entry's lease and compares its digest with the allocator's; a difference leads to CW_SHARD_RESYNC. */
void cw_shard_check_digest(cw_shard_t* shard, int64_t now_ms, const cw_grant_digest_t* digest);
/* Applies the entry's full list of grants: adopts unknown grants and reclaims those not listed. */
void cw_shard_sync_grants(cw_shard_t* shard, int64_t now_ms, const cw_grant_digest_t* digest,
                          const cw_held_grant_t* held, uint32_t count);
/* The entry is known to be dead: cancels its queued requests and reclaims its grants after one ttl. */
void cw_shard_entry_failed(cw_shard_t* shard, int64_t now_ms, uint64_t entry);
/* Load report of an upstream. */
void cw_shard_report_load(cw_shard_t* shard, int64_t now_ms, uint64_t upstream, uint32_t running, bool draining);
/* Version that an upstream states itself, 0: none. */
void cw_shard_report_version(cw_shard_t* shard, uint64_t upstream, uint64_t version);
/* Next action to send; false when there is none now. */
bool cw_shard_next_action(cw_shard_t* shard, int64_t now_ms, cw_shard_action_t* action);
cw_shard_stats_t cw_shard_stats(const cw_shard_t* shard, int64_t now_ms);
const char* cw_refusal_name(cw_refusal_t refusal);

#endif /* CHALKWAY_SHARD_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_SHARD_IMPL_INCLUDED
#define CHALKWAY_SHARD_IMPL_INCLUDED

#include <assert.h>
#include <string.h>

#define _CW_SHARD_NONE UINT32_MAX
#define _CW_SHARD_GRANT_BIT 0x80000000U
#define _CW_SHARD_DEFAULT_MS 50.0 /* run time of a request before any has been measured */

typedef struct _cw_shard_item_t {
    cw_slot_request_t slot_request;
    int64_t arrived_ms;
    uint32_t retry_ms;    /* retry delay of a request that is refused for its workspace's rate */
    cw_refusal_t refusal; /* set while the item is in the list of refusals to send */
    uint32_t next;        /* in the list of refusals to send, or in the free list */
} _cw_shard_item_t;

typedef struct _cw_shard_grant_t {
    uint64_t id;  /* 0: free */
    uint64_t key; /* key of the grant's request in by_request */
    uint64_t entry;
    uint64_t workspace;
    uint64_t upstream;
    int64_t granted_ms;
    int64_t reclaim_at_ms; /* when to reclaim a dead entry's grant, 0: not set */
    uint32_t seq, cost, est_ms, weight;
    uint32_t prev, next; /* in the list of the entry's grants; next also in the free list */
    uint32_t queued_ms;
    uint8_t tier, flags;
    bool is_preempted;
} _cw_shard_grant_t;

typedef struct _cw_shard_entry_t {
    uint64_t id;
    int64_t last_seen_ms; /* time of its latest message */
    uint32_t grants;      /* list head */
    bool needs_resync;    /* CW_SHARD_RESYNC must be sent */
    bool has_reported;    /* it has sent its list of grants, or a digest that matches */
} _cw_shard_entry_t;

/* Usage of a workspace that has hard limits, summed over all entries and tiers. */
typedef struct _cw_shard_limit_t {
    uint64_t workspace; /* 0: free */
    uint32_t running, max_running;
    cw_bucket_t bucket;
} _cw_shard_limit_t;

struct cw_shard_t {
    cw_shard_desc_t desc;
    cw_pick_t* pick;
    cw_fair_t* tiers[CW_TIERS];
    double floor_credit[CW_TIERS];  /* served cost that the tier has yet to get to reach its floor */
    double queued_run_ms[CW_TIERS]; /* sum of the estimated run times queued in the tier */
    uint32_t* resuming;             /* waiting items that need a version, oldest first; they are in no tier's queue */
    uint32_t resuming_count;
    cw_heap_t expiry; /* items by the time at which their wait ends */
    _cw_shard_item_t* items;
    uint32_t free_item;
    uint32_t refused_head, refused_tail;
    _cw_shard_grant_t* grants;
    uint32_t free_grant;
    uint32_t grant_count;
    uint32_t grant_seq;
    cw_map_t by_request; /* mix(entry, seq) -> item, or grant with _CW_SHARD_GRANT_BIT */
    cw_map_t by_grant;   /* grant id -> grant */
    _cw_shard_entry_t* entries;
    uint32_t entry_count;
    cw_map_t by_entry;
    _cw_shard_limit_t* limits;
    cw_map_t by_limit;     /* workspace -> limit */
    uint32_t limit_cursor; /* where the search for a free record starts */
    bool is_resync_due;    /* some entry may have needs_resync set */
    int64_t next_sweep_ms; /* time of the next scan for expired leases */
    int64_t takeover_until_ms;
    uint32_t expected_entries; /* entries whose grants the takeover waits for */
    double visible_share;      /* share of published entries on this side of a partition, 0..1 */
    uint32_t protected_waiting;
    uint32_t resend_grant; /* index of a grant whose action must be sent again, _CW_SHARD_NONE: none */
    cw_shard_stats_t stats;
};

static cw_shard_desc_t _cw_shard_desc_defaults(const cw_shard_desc_t* desc) {
    static const double floors[CW_TIERS] = {0.0, 0.10, 0.05, 0.02};
    cw_shard_desc_t d = *desc;
    d.epoch = d.epoch ? d.epoch : 1;
    d.max_waiting = d.max_waiting ? d.max_waiting : 4096;
    d.max_grants = d.max_grants ? d.max_grants : 4096;
    d.max_workspaces = d.max_workspaces ? d.max_workspaces : 1024;
    d.max_entries = d.max_entries ? d.max_entries : 512;
    d.ttl_ms = d.ttl_ms ? d.ttl_ms : 500;
    d.lease_ms = d.lease_ms ? d.lease_ms : 60000;
    d.preempt_ms = d.preempt_ms ? d.preempt_ms : 100;
    bool is_unset = true;
    for (uint32_t t = 0; t < CW_TIERS; t++) {
        is_unset = is_unset && d.floor[t] <= 0;
    }
    if (is_unset) {
        memcpy(d.floor, floors, sizeof(floors));
    }
    d.pick.allocator = d.allocator;
    return d;
}

const char* cw_refusal_name(cw_refusal_t refusal) {
    static const char* const names[CW_REFUSED_COUNT] = {"none", "too-late",    "busy", "evicted",
                                                        "full", "no-upstream", "rate"};
    return ((unsigned)refusal < CW_REFUSED_COUNT) ? names[refusal] : "?";
}

cw_shard_t* cw_shard_setup(const cw_shard_desc_t* desc) {
    cw_shard_desc_t d = _cw_shard_desc_defaults(desc);
    cw_shard_t* s = cw_alloc(&d.allocator, 1, sizeof(*s));
    s->desc = d;
    s->pick = cw_pick_setup(&d.pick);
    for (uint32_t t = 0; t < CW_TIERS; t++) {
        s->tiers[t] = cw_fair_setup(&(cw_fair_desc_t){
            .max_items = d.max_waiting, .max_workspaces = d.max_workspaces, .allocator = d.allocator});
    }
    s->expiry = cw_heap_setup(d.max_waiting, &d.allocator);
    s->items = cw_alloc(&d.allocator, d.max_waiting, sizeof(*s->items));
    s->resuming = cw_alloc(&d.allocator, d.max_waiting, sizeof(*s->resuming));
    s->grants = cw_alloc(&d.allocator, d.max_grants, sizeof(*s->grants));
    s->entries = cw_alloc(&d.allocator, d.max_entries, sizeof(*s->entries));
    s->limits = cw_alloc(&d.allocator, d.max_workspaces, sizeof(*s->limits));
    s->by_limit = cw_map_setup(d.max_workspaces, &d.allocator);
    s->by_request = cw_map_setup(d.max_waiting + d.max_grants, &d.allocator);
    s->by_grant = cw_map_setup(d.max_grants, &d.allocator);
    s->by_entry = cw_map_setup(d.max_entries, &d.allocator);
    for (uint32_t i = 0; i < d.max_waiting; i++) {
        s->items[i].next = i + 1 < d.max_waiting ? i + 1 : _CW_SHARD_NONE;
    }
    for (uint32_t i = 0; i < d.max_grants; i++) {
        s->grants[i].next = i + 1 < d.max_grants ? i + 1 : _CW_SHARD_NONE;
    }
    s->refused_head = s->refused_tail = _CW_SHARD_NONE;
    s->resend_grant = _CW_SHARD_NONE;
    s->visible_share = 1.0;
    return s;
}

void cw_shard_shutdown(cw_shard_t* s) {
    cw_allocator_t a = s->desc.allocator;
    cw_pick_shutdown(s->pick);
    for (uint32_t t = 0; t < CW_TIERS; t++) {
        cw_fair_shutdown(s->tiers[t]);
    }
    cw_heap_shutdown(&s->expiry);
    cw_map_shutdown(&s->by_request);
    cw_map_shutdown(&s->by_grant);
    cw_map_shutdown(&s->by_entry);
    cw_map_shutdown(&s->by_limit);
    cw_free(&a, s->limits);
    cw_free(&a, s->items);
    cw_free(&a, s->resuming);
    cw_free(&a, s->grants);
    cw_free(&a, s->entries);
    cw_free(&a, s);
}

/* -- entries -------------------------------------------------------------- */

/* Finds or adds the entry and renews its lease; NULL when the table is full. */
static _cw_shard_entry_t* _cw_shard_touch_entry(cw_shard_t* s, int64_t now_ms, uint64_t id) {
    uint32_t i = cw_map_get(&s->by_entry, id);
    if (i == CW_MAP_NONE) {
        if (s->entry_count == s->desc.max_entries) {
            return NULL;
        }
        i = s->entry_count++;
        s->entries[i] = (_cw_shard_entry_t){.id = id, .grants = _CW_SHARD_NONE};
        cw_map_put(&s->by_entry, id, i);
    }
    s->entries[i].last_seen_ms = now_ms;
    return &s->entries[i];
}

static void _cw_shard_remove_entry(cw_shard_t* s, uint32_t index) {
    cw_map_remove(&s->by_entry, s->entries[index].id);
    s->entries[index] = s->entries[--s->entry_count];
    if (index < s->entry_count) {
        cw_map_put(&s->by_entry, s->entries[index].id, index);
    }
}

/* Scales the limits by the smaller of the partition's and the takeover's share. */
static void _cw_shard_scale_limits(cw_shard_t* s, int64_t now_ms) {
    double scale = s->visible_share;
    if (now_ms < s->takeover_until_ms && s->expected_entries) {
        uint32_t reported = 0;
        for (uint32_t i = 0; i < s->entry_count; i++) {
            reported += s->entries[i].has_reported;
        }
        double share = (double)reported / s->expected_entries;
        scale = share < scale ? share : scale;
    }
    cw_pick_set_share(s->pick, scale);
}

void cw_shard_set_visible_entries(cw_shard_t* s, uint32_t seen, uint32_t published) {
    s->visible_share = (published && seen < published) ? (double)seen / published : 1.0;
}

void cw_shard_begin_takeover(cw_shard_t* s, int64_t until_ms, uint32_t expected_entries) {
    s->takeover_until_ms = until_ms;
    s->expected_entries = expected_entries;
}

void cw_shard_request_resync(cw_shard_t* s, int64_t now_ms, uint64_t entry) {
    _cw_shard_entry_t* e = _cw_shard_touch_entry(s, now_ms, entry);
    if (e) {
        e->needs_resync = true;
        s->is_resync_due = true;
    }
}

/* -- limits of workspaces ------------------------------------------------- */

/* Finds or adds the workspace's record, replacing one with no grants running; NULL when all are in use. */
static _cw_shard_limit_t* _cw_shard_get_limit(cw_shard_t* s, uint64_t workspace) {
    uint32_t i = cw_map_get(&s->by_limit, workspace);
    if (i != CW_MAP_NONE) {
        return &s->limits[i];
    }
    for (uint32_t k = 0; k < s->desc.max_workspaces; k++) {
        i = s->limit_cursor++ % s->desc.max_workspaces;
        if (s->limits[i].running) {
            continue;
        }
        cw_map_remove(&s->by_limit, s->limits[i].workspace);
        s->limits[i] = (_cw_shard_limit_t){.workspace = workspace};
        cw_map_put(&s->by_limit, workspace, i);
        return &s->limits[i];
    }
    return NULL;
}

static bool _cw_shard_limit_is_reached(const _cw_shard_limit_t* l) {
    return l->max_running && l->running >= l->max_running;
}

static bool _cw_shard_is_at_limit(const cw_shard_t* s, uint64_t workspace) {
    uint32_t i = cw_map_get(&s->by_limit, workspace);
    return i != CW_MAP_NONE && _cw_shard_limit_is_reached(&s->limits[i]);
}

/* Skips the workspace in every tier while it is at its limit of running grants. */
static void _cw_shard_limit_update_blocked(cw_shard_t* s, const _cw_shard_limit_t* l) {
    bool is_blocked = _cw_shard_limit_is_reached(l);
    for (uint32_t t = 0; t < CW_TIERS; t++) {
        cw_fair_set_blocked(s->tiers[t], l->workspace, is_blocked);
    }
}

/* Charges one request to the workspace's rate limit; returns 0, or the retry delay when the rate is exceeded. */
static uint32_t _cw_shard_limit_take_rate(cw_shard_t* s, int64_t now_ms, const cw_slot_request_t* slot_request) {
    _cw_shard_limit_t* l = slot_request->max_rate > 0 ? _cw_shard_get_limit(s, slot_request->workspace) : NULL;
    if (!l) {
        return 0;
    }
    l->bucket.rate = slot_request->max_rate;
    return cw_bucket_take(&l->bucket, now_ms, 1) ? 0 : cw_bucket_wait_ms(&l->bucket, now_ms, 1);
}

/* Applies the limit that a request just queued carries: its workspace may already be at that limit. */
static void _cw_shard_limit_set_max(cw_shard_t* s, const cw_slot_request_t* slot_request) {
    _cw_shard_limit_t* l = slot_request->max_running ? _cw_shard_get_limit(s, slot_request->workspace) : NULL;
    if (l) {
        l->max_running = slot_request->max_running;
        _cw_shard_limit_update_blocked(s, l);
    }
}

static void _cw_shard_limit_begin(cw_shard_t* s, uint64_t workspace) {
    uint32_t i = cw_map_get(&s->by_limit, workspace);
    if (i != CW_MAP_NONE) {
        s->limits[i].running++;
        _cw_shard_limit_update_blocked(s, &s->limits[i]);
    }
}

static void _cw_shard_limit_end(cw_shard_t* s, uint64_t workspace) {
    uint32_t i = cw_map_get(&s->by_limit, workspace);
    if (i != CW_MAP_NONE && s->limits[i].running) {
        s->limits[i].running--;
        _cw_shard_limit_update_blocked(s, &s->limits[i]);
    }
}

/* -- waiting items -------------------------------------------------------- */

static void _cw_shard_free_item(cw_shard_t* s, uint32_t i) {
    s->items[i].slot_request.seq = 0;
    s->items[i].next = s->free_item;
    s->free_item = i;
}

/* Removes an item that has just left its queue from the expiry heap, its tier's counters and the index. */
static void _cw_shard_untrack_item(cw_shard_t* s, uint32_t i) {
    const cw_slot_request_t* slot_request = &s->items[i].slot_request;
    cw_heap_remove(&s->expiry, i);
    if (!slot_request->version) {
        s->queued_run_ms[slot_request->tier] -= slot_request->est_ms;
        s->protected_waiting -= (slot_request->flags & CW_SLOT_REQUEST_PROTECTED) ? 1 : 0;
    }
    if (!cw_fair_count(s->tiers[slot_request->tier])) {
        s->floor_credit[slot_request->tier] = 0;
        s->queued_run_ms[slot_request->tier] = 0;
    }
    cw_map_remove(&s->by_request, cw_mix(slot_request->entry, slot_request->seq));
}

/* Adds the item to the queue of its kind. CW_ERR_FULL: too many workspaces wait. */
static cw_status_t _cw_shard_enqueue(cw_shard_t* s, uint32_t i) {
    const cw_slot_request_t* slot_request = &s->items[i].slot_request;
    if (!slot_request->version) {
        return cw_fair_push(s->tiers[slot_request->tier], slot_request->workspace, i);
    }
    s->resuming[s->resuming_count++] = i;
    return CW_OK;
}

static void _cw_shard_remove_resuming(cw_shard_t* s, uint32_t item) {
    uint32_t kept = 0;
    for (uint32_t k = 0; k < s->resuming_count; k++) {
        if (s->resuming[k] != item) {
            s->resuming[kept++] = s->resuming[k];
        }
    }
    s->resuming_count = kept;
}

/* Removes a waiting item from its queue; the caller must refuse or free it. */
static void _cw_shard_dequeue(cw_shard_t* s, uint32_t i) {
    if (s->items[i].slot_request.version) {
        _cw_shard_remove_resuming(s, i);
    } else {
        cw_fair_remove(s->tiers[s->items[i].slot_request.tier], i);
    }
    _cw_shard_untrack_item(s, i);
}

/* Appends an item that is in no queue to the refusals that cw_shard_next_action sends. */
static void _cw_shard_refuse(cw_shard_t* s, uint32_t i, cw_refusal_t refusal) {
    s->items[i].refusal = refusal;
    s->items[i].next = _CW_SHARD_NONE;
    if (s->refused_tail == _CW_SHARD_NONE) {
        s->refused_head = i;
    } else {
        s->items[s->refused_tail].next = i;
    }
    s->refused_tail = i;
    s->stats.refusals++;
}

/* Estimated wait of a new request of the tier: run time queued in this tier and above, divided by the slots. */
static uint32_t _cw_shard_wait_ms(const cw_shard_t* s, int64_t now_ms, uint32_t tier) {
    uint32_t limit = cw_pick_capacity(s->pick, now_ms); /* unscaled: a takeover ends before the queue drains */
    double queued_run_ms = 0;
    for (uint32_t t = 0; t <= tier; t++) {
        queued_run_ms += s->queued_run_ms[t];
    }
    return limit ? (uint32_t)(queued_run_ms / limit) : 0;
}

static bool _cw_shard_is_lower_tier_waiting(const cw_shard_t* s, uint32_t tier) {
    for (uint32_t t = tier + 1; t < CW_TIERS; t++) {
        if (cw_fair_count(s->tiers[t])) {
            return true;
        }
    }
    return false;
}

/* Evicts an item of the lowest tier below the given one: the newest of the workspace with the highest counter. Returns
   false when there is none that may be evicted. */
static bool _cw_shard_evict_below(cw_shard_t* s, uint32_t tier) {
    for (uint32_t t = CW_TIERS - 1; t > tier; t--) {
        uint32_t i = cw_fair_peek_last(s->tiers[t]);
        if (i != CW_FAIR_NONE && !(s->items[i].slot_request.flags & CW_SLOT_REQUEST_PROTECTED)) {
            _cw_shard_dequeue(s, i);
            _cw_shard_refuse(s, i, CW_REFUSED_EVICTED);
            s->stats.evictions++;
            return true;
        }
    }
    return false;
}

/* Longest wait after which the request most likely still meets its deadline. An engine's work on a response that is cut
   off at its deadline is lost, so the wait leaves high_est_ms to run. A request that has too little time for that may
   still wait for a tenth of its remaining time. */
static uint32_t _cw_shard_max_wait_ms(const cw_slot_request_t* slot_request) {
    uint32_t high_est_ms = slot_request->high_est_ms ? slot_request->high_est_ms : slot_request->est_ms;
    uint32_t slack = slot_request->remaining_ms > high_est_ms ? slot_request->remaining_ms - high_est_ms : 0;
    uint32_t least = slot_request->remaining_ms / 10;
    slack = slack < least ? least : slack;
    return slack < slot_request->queue_ms ? slack : slot_request->queue_ms;
}

/* Admission check of a new request. */
static cw_refusal_t _cw_shard_check_admission(const cw_shard_t* s, int64_t now_ms,
                                              const cw_slot_request_t* slot_request) {
    if (slot_request->est_ms > slot_request->remaining_ms) {
        return CW_REFUSED_LATE;
    }
    bool has_upstream =
        slot_request->version ? cw_pick_has_version(s->pick, slot_request->version) : cw_pick_count(s->pick) != 0;
    if (!has_upstream) {
        return CW_REFUSED_NO_UPSTREAM;
    }
    bool precedes_queue = slot_request->version || ((slot_request->flags & CW_SLOT_REQUEST_PROTECTED) &&
                                                    _cw_shard_is_lower_tier_waiting(s, slot_request->tier));
    uint32_t wait_ms = _cw_shard_wait_ms(s, now_ms, slot_request->tier);
    if (!precedes_queue && wait_ms > _cw_shard_max_wait_ms(slot_request)) {
        return CW_REFUSED_BUSY;
    }
    return CW_REFUSED_NONE;
}

cw_status_t cw_shard_request_slot(cw_shard_t* s, int64_t now_ms, const cw_slot_request_t* slot_request) {
    assert(slot_request->seq && slot_request->tier < CW_TIERS);
    _cw_shard_touch_entry(s, now_ms, slot_request->entry);
    uint64_t key = cw_mix(slot_request->entry, slot_request->seq);
    uint32_t known = cw_map_get(&s->by_request, key);
    if (known != CW_MAP_NONE) {
        if (known & _CW_SHARD_GRANT_BIT) {
            s->resend_grant = known & ~_CW_SHARD_GRANT_BIT;
        }
        return CW_OK;
    }
    s->stats.requests++;
    if (s->free_item == _CW_SHARD_NONE) {
        return CW_ERR_FULL;
    }
    uint32_t retry_ms = _cw_shard_limit_take_rate(s, now_ms, slot_request);
    cw_refusal_t refusal = retry_ms ? CW_REFUSED_RATE : _cw_shard_check_admission(s, now_ms, slot_request);
    if (s->items[s->free_item].next == _CW_SHARD_NONE && !refusal && !_cw_shard_evict_below(s, slot_request->tier)) {
        refusal = CW_REFUSED_FULL; /* the last free item is reserved for refusals */
    }
    uint32_t i = s->free_item;
    s->free_item = s->items[i].next;
    s->items[i] = (_cw_shard_item_t){.slot_request = *slot_request, .arrived_ms = now_ms, .retry_ms = retry_ms};
    if (!refusal && _cw_shard_enqueue(s, i) != CW_OK) {
        refusal = CW_REFUSED_FULL;
    }
    if (refusal) {
        _cw_shard_refuse(s, i, refusal);
        return CW_OK;
    }
    cw_heap_set(&s->expiry, i, (double)(now_ms + _cw_shard_max_wait_ms(slot_request)));
    if (!slot_request->version) {
        s->queued_run_ms[slot_request->tier] += slot_request->est_ms;
        s->protected_waiting += (slot_request->flags & CW_SLOT_REQUEST_PROTECTED) ? 1 : 0;
    }
    cw_map_put(&s->by_request, key, i);
    _cw_shard_limit_set_max(s, slot_request);
    return CW_OK;
}

void cw_shard_cancel_request(cw_shard_t* s, uint64_t entry, uint32_t seq) {
    uint32_t i = cw_map_get(&s->by_request, cw_mix(entry, seq));
    if (i != CW_MAP_NONE && !(i & _CW_SHARD_GRANT_BIT)) {
        _cw_shard_dequeue(s, i);
        _cw_shard_free_item(s, i);
    }
}

bool cw_shard_is_queued(const cw_shard_t* s, uint64_t entry, uint32_t seq) {
    uint32_t i = cw_map_get(&s->by_request, cw_mix(entry, seq));
    return i != CW_MAP_NONE && !(i & _CW_SHARD_GRANT_BIT);
}

uint32_t cw_shard_upstream_count(const cw_shard_t* s) {
    return cw_pick_count(s->pick);
}

bool cw_shard_has_upstream(const cw_shard_t* s, uint64_t upstream) {
    return cw_pick_find(s->pick, upstream) != CW_PICK_NONE;
}

/* -- grants --------------------------------------------------------------- */

static uint32_t _cw_shard_alloc_grant(cw_shard_t* s, int64_t now_ms, uint64_t entry_id) {
    _cw_shard_entry_t* e = _cw_shard_touch_entry(s, now_ms, entry_id);
    if (s->free_grant == _CW_SHARD_NONE || !e) {
        return _CW_SHARD_NONE;
    }
    uint32_t g = s->free_grant;
    s->free_grant = s->grants[g].next;
    s->grants[g] = (_cw_shard_grant_t){.entry = entry_id, .prev = _CW_SHARD_NONE, .next = e->grants};
    if (e->grants != _CW_SHARD_NONE) {
        s->grants[e->grants].prev = g;
    }
    e->grants = g;
    s->grant_count++;
    return g;
}

static void _cw_shard_index_grant(cw_shard_t* s, uint32_t g) {
    cw_map_put(&s->by_grant, s->grants[g].id, g);
    cw_map_put(&s->by_request, s->grants[g].key, g | _CW_SHARD_GRANT_BIT);
}

static void _cw_shard_free_grant(cw_shard_t* s, uint32_t g) {
    _cw_shard_grant_t* grant = &s->grants[g];
    if (grant->prev != _CW_SHARD_NONE) {
        s->grants[grant->prev].next = grant->next;
    } else {
        s->entries[cw_map_get(&s->by_entry, grant->entry)].grants = grant->next;
    }
    if (grant->next != _CW_SHARD_NONE) {
        s->grants[grant->next].prev = grant->prev;
    }
    cw_map_remove(&s->by_grant, grant->id);
    cw_map_remove(&s->by_request, grant->key);
    if (s->resend_grant == g) {
        s->resend_grant = _CW_SHARD_NONE;
    }
    grant->id = 0;
    grant->next = s->free_grant;
    s->free_grant = g;
    s->grant_count--;
}

/* Ends a grant: frees the slot and corrects the workspace's charge to the actual cost. */
static void _cw_shard_end_grant(cw_shard_t* s, int64_t now_ms, uint32_t g, cw_pick_result_t result, uint32_t took_ms,
                                uint32_t cost) {
    _cw_shard_grant_t* grant = &s->grants[g];
    uint32_t up = cw_pick_find(s->pick, grant->upstream);
    if (up != CW_PICK_NONE) {
        cw_pick_end(s->pick, now_ms, up, result, took_ms, cost);
    }
    cw_fair_charge(s->tiers[grant->tier], grant->workspace, grant->weight, (double)cost - grant->cost);
    s->stats.served_cost[grant->tier] += (double)cost - grant->cost;
    _cw_shard_limit_end(s, grant->workspace);
    _cw_shard_free_grant(s, g);
}

cw_status_t cw_shard_release_grant(cw_shard_t* s, int64_t now_ms, const cw_grant_release_t* release) {
    uint32_t g = cw_map_get(&s->by_grant, release->grant);
    if (g == CW_MAP_NONE) {
        return CW_ERR_NOT_FOUND;
    }
    _cw_shard_touch_entry(s, now_ms, s->grants[g].entry);
    _cw_shard_end_grant(s, now_ms, g, release->result, release->took_ms, release->cost);
    return CW_OK;
}

/* Tier to serve next: the highest with a waiting item, unless a lower one's floor credit covers its next item. */
static uint32_t _cw_shard_next_tier(const cw_shard_t* s) {
    uint32_t best = CW_TIERS;
    for (uint32_t t = 0; t < CW_TIERS; t++) {
        uint32_t i = cw_fair_peek(s->tiers[t]);
        if (i == CW_FAIR_NONE) {
            continue;
        }
        if (best == CW_TIERS) {
            best = t;
        } else if (s->floor_credit[t] >= s->items[i].slot_request.cost) {
            return t;
        }
    }
    return best;
}

/* Updates the floor credits and the statistics when a request of the tier is granted a slot. Every tier but
   tier 0 is credited with its own floor times the request's cost, if it has waiting requests or is the granted one. The
   cost is then deducted from the granted tier's credit, which does not fall below 0. */
static void _cw_shard_account_cost(cw_shard_t* s, uint32_t tier, uint32_t cost) {
    for (uint32_t t = 1; t < CW_TIERS; t++) {
        if (t == tier || cw_fair_peek(s->tiers[t]) != CW_FAIR_NONE) {
            s->floor_credit[t] += s->desc.floor[t] * cost;
        }
    }
    s->floor_credit[tier] -= cost;
    if (s->floor_credit[tier] < 0) {
        s->floor_credit[tier] = 0;
    }
    s->stats.served_cost[tier] += cost;
}

static void _cw_shard_fill_grant(cw_shard_t* s, uint32_t g, cw_shard_action_t* action) {
    const _cw_shard_grant_t* grant = &s->grants[g];
    *action = (cw_shard_action_t){.kind = CW_SHARD_GRANT,
                                  .entry = grant->entry,
                                  .seq = grant->seq,
                                  .grant = grant->id,
                                  .upstream = grant->upstream,
                                  .queued_ms = grant->queued_ms,
                                  .ttl_ms = s->desc.ttl_ms};
}

/* Grants the waiting item a slot of the upstream. False: the table of grants is full. */
static bool _cw_shard_grant(cw_shard_t* s, int64_t now_ms, uint32_t i, uint32_t up, cw_shard_action_t* action) {
    const cw_slot_request_t slot_request = s->items[i].slot_request;
    uint32_t tier = slot_request.tier;
    uint32_t g = _cw_shard_alloc_grant(s, now_ms, slot_request.entry);
    if (g == _CW_SHARD_NONE) {
        return false;
    }
    if (slot_request.version) {
        _cw_shard_remove_resuming(s, i);
    } else {
        cw_fair_pop(s->tiers[tier]); /* i is its first item */
    }
    _cw_shard_untrack_item(s, i);
    _cw_shard_grant_t* grant = &s->grants[g];
    grant->id = ((uint64_t)s->desc.epoch << 32) | ++s->grant_seq;
    grant->key = cw_mix(slot_request.entry, slot_request.seq);
    grant->workspace = slot_request.workspace;
    grant->upstream = cw_pick_at(s->pick, up).spec.id;
    grant->granted_ms = now_ms;
    grant->seq = slot_request.seq;
    grant->cost = slot_request.cost;
    grant->est_ms = slot_request.est_ms;
    grant->weight = slot_request.weight;
    grant->tier = slot_request.tier;
    grant->flags = slot_request.flags;
    grant->queued_ms = (uint32_t)(now_ms - s->items[i].arrived_ms);
    _cw_shard_index_grant(s, g);
    cw_pick_begin(s->pick, up);
    _cw_shard_limit_begin(s, slot_request.workspace);
    cw_fair_charge(s->tiers[tier], slot_request.workspace, slot_request.weight, slot_request.cost);
    _cw_shard_account_cost(s, tier, slot_request.cost);
    _cw_shard_free_item(s, i);
    s->stats.grants++;
    _cw_shard_fill_grant(s, g, action);
    return true;
}

static uint32_t _cw_shard_choose_upstream(const cw_shard_t* s, int64_t now_ms, uint32_t i) {
    const cw_slot_request_t* slot_request = &s->items[i].slot_request;
    bool uses_reserve = slot_request->version || (slot_request->flags & CW_SLOT_REQUEST_PROTECTED);
    const cw_pick_query_t query = {.prefix = slot_request->prefix,
                                   .hall = slot_request->hall,
                                   .exclude = slot_request->exclude,
                                   .version = slot_request->version,
                                   .keep = uses_reserve ? 0 : s->desc.reserve};
    return cw_pick_choose(s->pick, now_ms, &query);
}

/* Streams whose caller has received a part precede all tiers. Each waits for its own version's slots, so one that
   has none does not hold up the next. */
static bool _cw_shard_try_grant_resuming(cw_shard_t* s, int64_t now_ms, cw_shard_action_t* action) {
    for (uint32_t k = 0; k < s->resuming_count; k++) {
        uint32_t i = s->resuming[k];
        if (_cw_shard_is_at_limit(s, s->items[i].slot_request.workspace)) {
            continue;
        }
        uint32_t up = _cw_shard_choose_upstream(s, now_ms, i);
        if (up != CW_PICK_NONE) {
            return _cw_shard_grant(s, now_ms, i, up, action);
        }
    }
    return false;
}

static bool _cw_shard_try_grant(cw_shard_t* s, int64_t now_ms, cw_shard_action_t* action) {
    if (s->free_grant == _CW_SHARD_NONE) {
        return false;
    }
    if (_cw_shard_try_grant_resuming(s, now_ms, action)) {
        return true;
    }
    uint32_t tier = _cw_shard_next_tier(s);
    if (tier == CW_TIERS) {
        return false;
    }
    uint32_t i = cw_fair_peek(s->tiers[tier]);
    uint32_t up = _cw_shard_choose_upstream(s, now_ms, i);
    return up != CW_PICK_NONE && _cw_shard_grant(s, now_ms, i, up, action);
}

/* Preempts the youngest preemptible grant of the lowest tier once the protected request at the head of the highest
   waiting tier has waited for preempt_ms. */
static bool _cw_shard_try_preempt(cw_shard_t* s, int64_t now_ms, cw_shard_action_t* action) {
    uint32_t head = _CW_SHARD_NONE;
    for (uint32_t t = 0; t < CW_TIERS && head == _CW_SHARD_NONE; t++) {
        head = cw_fair_peek(s->tiers[t]);
    }
    if (head == _CW_SHARD_NONE || !(s->items[head].slot_request.flags & CW_SLOT_REQUEST_PROTECTED) ||
        now_ms - s->items[head].arrived_ms < s->desc.preempt_ms) {
        return false;
    }
    uint32_t victim = _CW_SHARD_NONE;
    uint32_t pending = 0;
    for (uint32_t g = 0; g < s->desc.max_grants; g++) {
        const _cw_shard_grant_t* grant = &s->grants[g];
        if (!grant->id) {
            continue;
        }
        pending += grant->is_preempted;
        bool is_candidate = (grant->flags & CW_SLOT_REQUEST_PREEMPTIBLE) && !grant->is_preempted &&
                            grant->tier > s->items[head].slot_request.tier;
        if (is_candidate &&
            (victim == _CW_SHARD_NONE || grant->tier > s->grants[victim].tier ||
             (grant->tier == s->grants[victim].tier && grant->granted_ms > s->grants[victim].granted_ms))) {
            victim = g;
        }
    }
    if (victim == _CW_SHARD_NONE || pending >= s->protected_waiting) {
        return false;
    }
    s->grants[victim].is_preempted = true;
    s->stats.preemptions++;
    _cw_shard_fill_grant(s, victim, action);
    action->kind = CW_SHARD_PREEMPT;
    return true;
}

/* -- leases --------------------------------------------------------------- */

/* Digest of the entry's grants, without those that it may not have received yet. */
static cw_grant_digest_t _cw_shard_own_digest(const cw_shard_t* s, const _cw_shard_entry_t* e, uint64_t last) {
    cw_grant_digest_t own = {.entry = e->id};
    for (uint32_t g = e->grants; g != _CW_SHARD_NONE; g = s->grants[g].next) {
        uint64_t id = s->grants[g].id;
        bool is_own_epoch = (id >> 32) == s->desc.epoch;
        if (!is_own_epoch || id <= last) {
            own.ids_xor ^= id;
            own.count++;
        }
    }
    return own;
}

void cw_shard_check_digest(cw_shard_t* s, int64_t now_ms, const cw_grant_digest_t* digest) {
    _cw_shard_entry_t* e = _cw_shard_touch_entry(s, now_ms, digest->entry);
    if (!e) {
        return;
    }
    cw_grant_digest_t own = _cw_shard_own_digest(s, e, digest->last);
    if (own.count != digest->count || own.ids_xor != digest->ids_xor) {
        e->needs_resync = true;
        s->is_resync_due = true;
    } else {
        e->has_reported = true;
    }
}

static void _cw_shard_adopt(cw_shard_t* s, int64_t now_ms, uint64_t entry, const cw_held_grant_t* held) {
    uint32_t g = _cw_shard_alloc_grant(s, now_ms, entry);
    if (g == _CW_SHARD_NONE) {
        return;
    }
    _cw_shard_grant_t* grant = &s->grants[g];
    grant->id = held->grant;
    grant->key = cw_mix(entry, held->seq);
    grant->workspace = held->workspace;
    grant->upstream = held->upstream;
    grant->granted_ms = now_ms;
    grant->seq = held->seq;
    grant->cost = held->cost;
    grant->weight = 1;
    grant->tier = held->tier < CW_TIERS ? held->tier : CW_TIERS - 1;
    grant->flags = held->flags;
    cw_shard_cancel_request(s, entry, held->seq);
    _cw_shard_index_grant(s, g);
    uint32_t up = cw_pick_find(s->pick, held->upstream);
    if (up != CW_PICK_NONE) {
        cw_pick_begin(s->pick, up);
    }
    if (_cw_shard_get_limit(s, held->workspace)) { /* the next request of the workspace carries its limits */
        _cw_shard_limit_begin(s, held->workspace);
    }
    s->stats.adopted++;
}

static bool _cw_shard_is_listed(const cw_held_grant_t* held, uint32_t count, uint64_t grant) {
    for (uint32_t i = 0; i < count; i++) {
        if (held[i].grant == grant) {
            return true;
        }
    }
    return false;
}

void cw_shard_sync_grants(cw_shard_t* s, int64_t now_ms, const cw_grant_digest_t* digest, const cw_held_grant_t* held,
                          uint32_t count) {
    _cw_shard_entry_t* e = _cw_shard_touch_entry(s, now_ms, digest->entry);
    if (!e) {
        return;
    }
    e->has_reported = true;
    e->needs_resync = false;
    for (uint32_t g = e->grants; g != _CW_SHARD_NONE;) {
        uint32_t next = s->grants[g].next;
        uint64_t id = s->grants[g].id;
        bool was_received = (id >> 32) != s->desc.epoch || id <= digest->last;
        if (was_received && !_cw_shard_is_listed(held, count, id)) {
            _cw_shard_end_grant(s, now_ms, g, CW_PICK_CANCELLED, 0, s->grants[g].cost);
            s->stats.reclaimed++;
        }
        g = next;
    }
    for (uint32_t i = 0; i < count; i++) {
        if (cw_map_get(&s->by_grant, held[i].grant) == CW_MAP_NONE &&
            cw_map_get(&s->by_request, cw_mix(digest->entry, held[i].seq)) == CW_MAP_NONE) {
            _cw_shard_adopt(s, now_ms, digest->entry, &held[i]);
        }
    }
}

static void _cw_shard_cancel_entry_requests(cw_shard_t* s, uint64_t entry) {
    for (uint32_t i = 0; i < s->desc.max_waiting; i++) {
        if (s->items[i].slot_request.seq && s->items[i].slot_request.entry == entry && cw_heap_has(&s->expiry, i)) {
            cw_shard_cancel_request(s, entry, s->items[i].slot_request.seq);
        }
    }
}

void cw_shard_entry_failed(cw_shard_t* s, int64_t now_ms, uint64_t entry) {
    uint32_t index = cw_map_get(&s->by_entry, entry);
    if (index == CW_MAP_NONE) {
        return;
    }
    _cw_shard_cancel_entry_requests(s, entry);
    /* The entry's requests may still run at the upstreams: their slots are reclaimed after one ttl. */
    s->entries[index].last_seen_ms = now_ms - s->desc.lease_ms + s->desc.ttl_ms;
}

/* Reclaims the grants of entries whose lease has expired. */
static void _cw_shard_reclaim_expired_leases(cw_shard_t* s, int64_t now_ms) {
    if (now_ms < s->next_sweep_ms) {
        return;
    }
    s->next_sweep_ms = now_ms + s->desc.ttl_ms / 2;
    for (uint32_t i = s->entry_count; i-- > 0;) {
        _cw_shard_entry_t* e = &s->entries[i];
        if (now_ms - e->last_seen_ms < s->desc.lease_ms) {
            continue;
        }
        _cw_shard_cancel_entry_requests(s, e->id);
        while (e->grants != _CW_SHARD_NONE) {
            uint32_t g = e->grants;
            _cw_shard_end_grant(s, now_ms, g, CW_PICK_CANCELLED, 0, s->grants[g].cost);
            s->stats.reclaimed++;
        }
        _cw_shard_remove_entry(s, i);
    }
}

/* -- actions -------------------------------------------------------------- */

static bool _cw_shard_next_refusal(cw_shard_t* s, int64_t now_ms, cw_shard_action_t* action) {
    uint32_t i = s->refused_head;
    if (i == _CW_SHARD_NONE) {
        return false;
    }
    s->refused_head = s->items[i].next;
    if (s->refused_head == _CW_SHARD_NONE) {
        s->refused_tail = _CW_SHARD_NONE;
    }
    const cw_slot_request_t* slot_request = &s->items[i].slot_request;
    uint32_t wait_ms = _cw_shard_wait_ms(s, now_ms, slot_request->tier);
    *action = (cw_shard_action_t){.kind = CW_SHARD_REFUSE,
                                  .entry = slot_request->entry,
                                  .seq = slot_request->seq,
                                  .refusal = s->items[i].refusal,
                                  .retry_after_ms = wait_ms > s->desc.ttl_ms ? wait_ms : s->desc.ttl_ms};
    if (action->refusal == CW_REFUSED_RATE) {
        action->retry_after_ms = s->items[i].retry_ms;
    }
    if (action->refusal == CW_REFUSED_LATE) {
        action->retry_after_ms = 0; /* a retry would have even less time */
    }
    _cw_shard_free_item(s, i);
    return true;
}

static bool _cw_shard_next_resync(cw_shard_t* s, cw_shard_action_t* action) {
    for (uint32_t i = 0; s->is_resync_due && i < s->entry_count; i++) {
        if (s->entries[i].needs_resync) {
            s->entries[i].needs_resync = false;
            *action = (cw_shard_action_t){.kind = CW_SHARD_RESYNC, .entry = s->entries[i].id};
            return true;
        }
    }
    s->is_resync_due = false;
    return false;
}

static void _cw_shard_expire_requests(cw_shard_t* s, int64_t now_ms) {
    uint32_t i = cw_heap_top(&s->expiry);
    while (i != CW_HEAP_NONE && cw_heap_key(&s->expiry, i) <= (double)now_ms) {
        _cw_shard_dequeue(s, i);
        _cw_shard_refuse(s, i, CW_REFUSED_BUSY);
        i = cw_heap_top(&s->expiry);
    }
}

bool cw_shard_next_action(cw_shard_t* s, int64_t now_ms, cw_shard_action_t* action) {
    _cw_shard_reclaim_expired_leases(s, now_ms);
    _cw_shard_expire_requests(s, now_ms);
    _cw_shard_scale_limits(s, now_ms);
    if (s->resend_grant != _CW_SHARD_NONE) {
        _cw_shard_fill_grant(s, s->resend_grant, action);
        s->resend_grant = _CW_SHARD_NONE;
        return true;
    }
    return _cw_shard_next_refusal(s, now_ms, action) || _cw_shard_next_resync(s, action) ||
           _cw_shard_try_grant(s, now_ms, action) || _cw_shard_try_preempt(s, now_ms, action);
}

void cw_shard_report_load(cw_shard_t* s, int64_t now_ms, uint64_t upstream, uint32_t running, bool draining) {
    cw_pick_on_report(s->pick, now_ms, upstream, running, draining);
}

void cw_shard_report_version(cw_shard_t* s, uint64_t upstream, uint64_t version) {
    cw_pick_on_version(s->pick, upstream, version);
}

cw_status_t cw_shard_set_upstreams(cw_shard_t* s, const cw_pick_spec_t* specs, uint32_t count) {
    return cw_pick_set_upstreams(s->pick, specs, count);
}

cw_shard_stats_t cw_shard_stats(const cw_shard_t* s, int64_t now_ms) {
    cw_shard_stats_t stats = s->stats;
    stats.running = s->grant_count;
    stats.limit = cw_pick_limit(s->pick, now_ms);
    stats.wait_ms = _cw_shard_wait_ms(s, now_ms, CW_TIERS - 1);
    stats.waiting = s->resuming_count;
    for (uint32_t t = 0; t < CW_TIERS; t++) {
        stats.waiting += cw_fair_count(s->tiers[t]);
    }
    return stats;
}

#endif /* CHALKWAY_SHARD_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
