#ifndef CHALKWAY_PICK_H
#define CHALKWAY_PICK_H
/*
    chalkway_pick.h -- choice of one upstream among those of a shard

    WHAT IT IS
        The table of a shard's upstreams with the state of each: slots in use
        (exact for the owner of the table), the last load report (delayed),
        the learned time for one unit of cost, and the number of consecutive
        errors. cw_pick_choose returns the upstream with the earliest
        expected finish among those with a free slot. A request with a prefix
        goes to the upstream that rendezvous hashing selects for it, while
        the load of that upstream stays within a bound over the mean. After
        several consecutive errors an upstream is ejected, for longer each
        time, and its limit then grows back slowly.

    HOW TO USE IT
            cw_pick_t* pick = cw_pick_setup(&(cw_pick_desc_t){0});
            cw_pick_set_upstreams(pick, specs, count);
            uint32_t up = cw_pick_choose(pick, now_ms, &(cw_pick_query_t){.prefix = hash});
            if (up != CW_PICK_NONE) {
                cw_pick_begin(pick, up);
                ...
                cw_pick_end(pick, now_ms, up, CW_PICK_SERVED, took_ms, cost);
            }

    WHAT IT DOES NOT DO
        It has no queue and no tiers: see chalkway_shard.h. It does not
        communicate; load reports are passed in.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_PICK_MAX 128 /* upstreams in one shard */
#define CW_PICK_NONE UINT32_MAX

/* An upstream as published in the configuration. */
typedef struct cw_pick_spec_t {
    uint64_t id;
    uint64_t hall;
    uint64_t version; /* id of its software's version, 0: unknown */
    uint32_t slots;   /* requests it may run at once */
    bool leaving;     /* gets no new requests */
} cw_pick_spec_t;

typedef enum cw_pick_result_t {
    CW_PICK_SERVED = 0, /* the whole response arrived */
    CW_PICK_FAILED,     /* reset, truncated response, time-out or an error status */
    CW_PICK_UNUSED,     /* the slot was released without a byte sent */
    CW_PICK_DRAINING,   /* the upstream reported that it is draining */
    CW_PICK_CANCELLED   /* ended by this side or the caller: no evidence about the upstream */
} cw_pick_result_t;

typedef struct cw_pick_query_t {
    uint64_t prefix;  /* hash of the prompt's start, 0: none */
    uint64_t hall;    /* hall to prefer, 0: none */
    uint64_t exclude; /* upstream to avoid, 0: none */
    uint64_t version; /* version that the upstream must have if its version is known, 0: any */
    uint32_t keep;    /* slots of the shard that must stay free after this request has taken one */
} cw_pick_query_t;

typedef struct cw_pick_desc_t {
    uint32_t eject_after;       /* consecutive errors until ejection, default 3 */
    uint32_t eject_ms;          /* duration of the first ejection, doubled each time, default 2000 */
    uint32_t eject_max_ms;      /* longest ejection, default 60000 */
    uint32_t slow_start_ms;     /* slow start after an ejection: time until the full limit is restored, default 10000 */
    uint32_t report_max_age_ms; /* load reports are ignored when older, default 10000 */
    bool counts_reported;       /* upstreams are shared with others: reported requests count against the limit */
    bool is_round_robin;        /* plain round robin over the upstreams, without limit */
    double prefix_bound;        /* load above the mean that prefix affinity may cause, default 0.25 */
    cw_allocator_t allocator;
} cw_pick_desc_t;

typedef struct cw_pick_upstream_t {
    cw_pick_spec_t spec;
    uint32_t inflight;        /* slots taken through this table */
    uint32_t reported;        /* running requests in the upstream's own last load report */
    int64_t reported_ms;      /* time of that load report; 0: never */
    bool draining;            /* the upstream reported that it is draining */
    uint64_t stated_version;  /* id of the version in its last load report, 0: none; precedes that of spec */
    double ms_per_cost;       /* learned; 0: unknown */
    uint32_t errors;          /* consecutive errors */
    uint32_t ejections;       /* since the last success */
    int64_t ejected_until_ms; /* end of the last ejection; 0: never ejected */
} cw_pick_upstream_t;

typedef struct cw_pick_t cw_pick_t;

cw_pick_t* cw_pick_setup(const cw_pick_desc_t* desc);
void cw_pick_shutdown(cw_pick_t* pick);
/* Replaces the list (at most CW_PICK_MAX); upstreams that stay in it keep their state. Returns CW_ERR_FULL when the
   list is too long. Indexes change: call cw_pick_find again. */
cw_status_t cw_pick_set_upstreams(cw_pick_t* pick, const cw_pick_spec_t* specs, uint32_t count);
uint32_t cw_pick_count(const cw_pick_t* pick);
cw_pick_upstream_t cw_pick_at(const cw_pick_t* pick, uint32_t index);
uint32_t cw_pick_find(const cw_pick_t* pick, uint64_t id);
/* Sets the share (0..1] of every limit that this table may use: less than 1 during a partition or a take-over. */
void cw_pick_set_share(cw_pick_t* pick, double share);
/* Whether an upstream of the version, or of an unknown one, can get requests once it has a free slot. */
bool cw_pick_has_version(const cw_pick_t* pick, uint64_t version);
/* Index of the best upstream with a free slot, or CW_PICK_NONE. */
uint32_t cw_pick_choose(const cw_pick_t* pick, int64_t now_ms, const cw_pick_query_t* query);
void cw_pick_begin(cw_pick_t* pick, uint32_t index);
/* Releases the slot. took_ms and cost are used only with CW_PICK_SERVED. */
void cw_pick_end(cw_pick_t* pick, int64_t now_ms, uint32_t index, cw_pick_result_t result, uint32_t took_ms,
                 uint32_t cost);
/* Records a load report of the upstream itself. */
void cw_pick_on_report(cw_pick_t* pick, int64_t now_ms, uint64_t id, uint32_t running, bool draining);
/* Records the version that the upstream states itself, 0: none. */
void cw_pick_on_version(cw_pick_t* pick, uint64_t id, uint64_t version);
/* Slots that this table may use now, in use or not. */
uint32_t cw_pick_limit(const cw_pick_t* pick, int64_t now_ms);
/* Slots that can serve now, regardless of the share that this table may use. */
uint32_t cw_pick_capacity(const cw_pick_t* pick, int64_t now_ms);
uint32_t cw_pick_inflight(const cw_pick_t* pick);
/* Mean learned time for a unit of cost over the upstreams, ms; 0 when unknown. */
double cw_pick_ms_per_cost(const cw_pick_t* pick);

#endif /* CHALKWAY_PICK_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_PICK_IMPL_INCLUDED
#define CHALKWAY_PICK_IMPL_INCLUDED

#include <assert.h>
#include <string.h>

#define _CW_PICK_SERVICE_TIME_WEIGHT 0.1 /* weight of a new sample of the service time */
#define _CW_PICK_OTHER_HALL_FACTOR 1.05  /* factor on the expected time at an upstream in another hall */
#define _CW_PICK_EJECT_DOUBLINGS_MAX 10U /* doublings of the ejection time */

struct cw_pick_t {
    cw_pick_desc_t desc;
    cw_pick_upstream_t ups[CW_PICK_MAX];
    uint32_t count;
    uint32_t inflight;
    uint32_t next_index; /* of the round robin */
    double share;
};

static cw_pick_desc_t _cw_pick_desc_defaults(const cw_pick_desc_t* desc) {
    cw_pick_desc_t d = *desc;
    d.eject_after = d.eject_after ? d.eject_after : 3;
    d.eject_ms = d.eject_ms ? d.eject_ms : 2000;
    d.eject_max_ms = d.eject_max_ms ? d.eject_max_ms : 60000;
    d.slow_start_ms = d.slow_start_ms ? d.slow_start_ms : 10000;
    d.report_max_age_ms = d.report_max_age_ms ? d.report_max_age_ms : 10000;
    d.prefix_bound = d.prefix_bound > 0 ? d.prefix_bound : 0.25;
    return d;
}

cw_pick_t* cw_pick_setup(const cw_pick_desc_t* desc) {
    cw_pick_desc_t d = _cw_pick_desc_defaults(desc);
    cw_pick_t* pick = cw_alloc(&d.allocator, 1, sizeof(*pick));
    pick->desc = d;
    pick->share = 1.0;
    return pick;
}

void cw_pick_shutdown(cw_pick_t* pick) {
    cw_allocator_t allocator = pick->desc.allocator;
    cw_free(&allocator, pick);
}

uint32_t cw_pick_find(const cw_pick_t* pick, uint64_t id) {
    for (uint32_t i = 0; i < pick->count; i++) {
        if (pick->ups[i].spec.id == id) {
            return i;
        }
    }
    return CW_PICK_NONE;
}

cw_status_t cw_pick_set_upstreams(cw_pick_t* pick, const cw_pick_spec_t* specs, uint32_t count) {
    if (count > CW_PICK_MAX) {
        return CW_ERR_FULL;
    }
    cw_pick_upstream_t next[CW_PICK_MAX];
    uint32_t inflight = 0;
    for (uint32_t i = 0; i < count; i++) {
        uint32_t old = cw_pick_find(pick, specs[i].id);
        next[i] = (old == CW_PICK_NONE) ? (cw_pick_upstream_t){0} : pick->ups[old];
        next[i].spec = specs[i];
        inflight += next[i].inflight;
    }
    memcpy(pick->ups, next, count * sizeof(next[0]));
    pick->count = count;
    pick->inflight = inflight;
    return CW_OK;
}

uint32_t cw_pick_count(const cw_pick_t* pick) {
    return pick->count;
}

cw_pick_upstream_t cw_pick_at(const cw_pick_t* pick, uint32_t index) {
    assert(index < pick->count);
    return pick->ups[index];
}

void cw_pick_set_share(cw_pick_t* pick, double share) {
    pick->share = share;
}

/* Slots of one upstream that may be used now. */
static uint32_t _cw_pick_slots_at_share(const cw_pick_t* pick, int64_t now_ms, const cw_pick_upstream_t* up,
                                        double share) {
    if (up->spec.leaving || up->draining || now_ms < up->ejected_until_ms) {
        return 0;
    }
    double slots = up->spec.slots * share;
    int64_t since_ejection_ms = now_ms - up->ejected_until_ms;
    if (up->ejected_until_ms && since_ejection_ms < pick->desc.slow_start_ms) {
        slots = slots * (double)since_ejection_ms / pick->desc.slow_start_ms;
    }
    return slots < 1.0 ? 1 : (uint32_t)slots;
}

static uint32_t _cw_pick_slots(const cw_pick_t* pick, int64_t now_ms, const cw_pick_upstream_t* up) {
    return _cw_pick_slots_at_share(pick, now_ms, up, pick->share);
}

/* Requests at the upstream that were not sent through this table, by its last load report. */
static uint32_t _cw_pick_external(const cw_pick_t* pick, int64_t now_ms, const cw_pick_upstream_t* up) {
    bool is_fresh = up->reported_ms && now_ms - up->reported_ms < pick->desc.report_max_age_ms;
    return (is_fresh && up->reported > up->inflight) ? up->reported - up->inflight : 0;
}

static double _cw_pick_load(const cw_pick_t* pick, int64_t now_ms, const cw_pick_upstream_t* up, uint32_t slots) {
    return (double)(up->inflight + _cw_pick_external(pick, now_ms, up)) / slots;
}

/* Expected time, ms, to finish one unit of cost at the upstream; longer where it is not in the preferred hall. */
static double _cw_pick_score(const cw_pick_upstream_t* up, const cw_pick_query_t* query, double load, double mean_ms) {
    double ms = up->ms_per_cost > 0 ? up->ms_per_cost : mean_ms;
    double score = ms * (0.5 + load);
    return (query->hall && query->hall != up->spec.hall) ? score * _CW_PICK_OTHER_HALL_FACTOR : score;
}

uint32_t cw_pick_limit(const cw_pick_t* pick, int64_t now_ms) {
    uint32_t limit = 0;
    for (uint32_t i = 0; i < pick->count; i++) {
        limit += _cw_pick_slots(pick, now_ms, &pick->ups[i]);
    }
    return limit;
}

uint32_t cw_pick_capacity(const cw_pick_t* pick, int64_t now_ms) {
    uint32_t capacity = 0;
    for (uint32_t i = 0; i < pick->count; i++) {
        capacity += _cw_pick_slots_at_share(pick, now_ms, &pick->ups[i], 1.0);
    }
    return capacity;
}

uint32_t cw_pick_inflight(const cw_pick_t* pick) {
    return pick->inflight;
}

double cw_pick_ms_per_cost(const cw_pick_t* pick) {
    double sum = 0;
    uint32_t known_count = 0;
    for (uint32_t i = 0; i < pick->count; i++) {
        if (pick->ups[i].ms_per_cost > 0) {
            sum += pick->ups[i].ms_per_cost;
            known_count++;
        }
    }
    return known_count ? sum / known_count : 0;
}

static bool _cw_pick_matches_version(const cw_pick_upstream_t* up, uint64_t version) {
    uint64_t known = up->stated_version ? up->stated_version : up->spec.version;
    return !version || !known || known == version;
}

bool cw_pick_has_version(const cw_pick_t* pick, uint64_t version) {
    for (uint32_t i = 0; i < pick->count; i++) {
        const cw_pick_upstream_t* up = &pick->ups[i];
        if (_cw_pick_matches_version(up, version) && !up->spec.leaving && !up->draining) {
            return true;
        }
    }
    return false;
}

/* The next upstream of the round robin that has a slot limit above 0. */
static uint32_t _cw_pick_rotate(const cw_pick_t* pick, int64_t now_ms, uint64_t version) {
    for (uint32_t k = 0; k < pick->count; k++) {
        uint32_t i = (pick->next_index + k) % pick->count;
        if (_cw_pick_matches_version(&pick->ups[i], version) && _cw_pick_slots(pick, now_ms, &pick->ups[i])) {
            return i;
        }
    }
    return CW_PICK_NONE;
}

uint32_t cw_pick_choose(const cw_pick_t* pick, int64_t now_ms, const cw_pick_query_t* query) {
    if (pick->desc.is_round_robin) {
        return _cw_pick_rotate(pick, now_ms, query->version);
    }
    uint32_t best = CW_PICK_NONE;
    uint32_t affinity = CW_PICK_NONE;
    uint32_t excluded = CW_PICK_NONE;
    uint32_t free_slots = 0;
    uint64_t affinity_hash = 0;
    double best_score = 0;
    double affinity_load = 0;
    double load_sum = 0;
    uint32_t usable_count = 0;
    double mean_ms = cw_pick_ms_per_cost(pick);
    mean_ms = mean_ms > 0 ? mean_ms : 1.0;
    for (uint32_t i = 0; i < pick->count; i++) {
        const cw_pick_upstream_t* up = &pick->ups[i];
        uint32_t slots = _cw_pick_slots(pick, now_ms, up);
        if (!slots) {
            continue;
        }
        double load = _cw_pick_load(pick, now_ms, up, slots);
        usable_count++;
        load_sum += load;
        uint32_t used = up->inflight + (pick->desc.counts_reported ? _cw_pick_external(pick, now_ms, up) : 0);
        if (used >= slots) {
            continue;
        }
        free_slots += slots - used;
        if (!_cw_pick_matches_version(up, query->version)) {
            continue;
        }
        if (up->spec.id == query->exclude) {
            excluded = i;
            continue;
        }
        double score = _cw_pick_score(up, query, load, mean_ms);
        if (best == CW_PICK_NONE || score < best_score) {
            best = i;
            best_score = score;
        }
        uint64_t hash = query->prefix ? cw_mix(query->prefix, up->spec.id) : 0;
        if (hash > affinity_hash) {
            affinity_hash = hash;
            affinity = i;
            affinity_load = load;
        }
    }
    if (free_slots <= query->keep) {
        return CW_PICK_NONE;
    }
    if (affinity != CW_PICK_NONE && affinity_load <= load_sum / usable_count + pick->desc.prefix_bound) {
        return affinity;
    }
    return best != CW_PICK_NONE ? best : excluded;
}

void cw_pick_begin(cw_pick_t* pick, uint32_t index) {
    assert(index < pick->count);
    pick->ups[index].inflight++;
    pick->inflight++;
    pick->next_index = index + 1;
}

static void _cw_pick_record_failure(cw_pick_t* pick, int64_t now_ms, cw_pick_upstream_t* up) {
    up->errors++;
    if (up->errors < pick->desc.eject_after || now_ms < up->ejected_until_ms) {
        return;
    }
    uint32_t doublings = up->ejections < _CW_PICK_EJECT_DOUBLINGS_MAX ? up->ejections : _CW_PICK_EJECT_DOUBLINGS_MAX;
    uint64_t ms = (uint64_t)pick->desc.eject_ms << doublings;
    ms = ms > pick->desc.eject_max_ms ? pick->desc.eject_max_ms : ms;
    up->ejected_until_ms = now_ms + (int64_t)ms;
    up->ejections++;
    up->errors = 0;
}

void cw_pick_end(cw_pick_t* pick, int64_t now_ms, uint32_t index, cw_pick_result_t result, uint32_t took_ms,
                 uint32_t cost) {
    assert(index < pick->count);
    cw_pick_upstream_t* up = &pick->ups[index];
    if (up->inflight) {
        up->inflight--;
        pick->inflight--;
    }
    if (result == CW_PICK_SERVED) {
        double ms = (double)(took_ms ? took_ms : 1) / (cost ? cost : 1);
        up->ms_per_cost += (up->ms_per_cost > 0 ? _CW_PICK_SERVICE_TIME_WEIGHT : 1.0) * (ms - up->ms_per_cost);
        up->errors = 0;
        up->ejections = 0;
    } else if (result == CW_PICK_FAILED) {
        _cw_pick_record_failure(pick, now_ms, up);
    } else if (result == CW_PICK_DRAINING) {
        up->draining = true;
    }
}

void cw_pick_on_report(cw_pick_t* pick, int64_t now_ms, uint64_t id, uint32_t running, bool draining) {
    uint32_t index = cw_pick_find(pick, id);
    if (index != CW_PICK_NONE) {
        pick->ups[index].reported = running;
        pick->ups[index].reported_ms = now_ms;
        pick->ups[index].draining = draining;
    }
}

void cw_pick_on_version(cw_pick_t* pick, uint64_t id, uint64_t version) {
    uint32_t index = cw_pick_find(pick, id);
    if (index != CW_PICK_NONE) {
        pick->ups[index].stated_version = version;
    }
}

#endif /* CHALKWAY_PICK_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
