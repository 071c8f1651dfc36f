#ifndef CHALKWAY_QUARANTINE_H
#define CHALKWAY_QUARANTINE_H
/*
    chalkway_quarantine.h -- detects and quarantines queries of death

    WHAT IT IS
        A query of death is a request that crashes every server that starts to
        run it, and that is sent again under new ids and through any host.
        Hosts exchange observations: which server crashed while which request
        (chalkway_fingerprint.h) ran on it. The observations of a request form
        a set with one crash per server incarnation, so their order,
        duplicates, and several hosts that report the same crash do not
        matter.

        All requests that ran on a server when it crashed get the same
        observation. These rules separate the cause from the bystanders:

        - a request that was answered completely, by any server, is cleared;
        - a crash counts half when something else may have caused it: another
          server crashed at the same moment without this request, or the
          server also ran another request that has two other crashes;
        - an incarnation that shows a sign of life after its crash did not
          crash: that observation is dropped.

        The verdict follows from the crashes of the request:

        - up to one: allowed;
        - two: isolated. The request is routed by its fingerprint instead of
          by load, so that suspected requests share few servers and copies of
          one request use the same one;
        - three or more, with a weight below three: on trial. Each further
          attempt is announced to the other hosts before it is sent, and
          counts half until its server crashes;
        - a weight of three: quarantined. When that depends on a crash so
          recent that observations of other crashes at the same moment may
          still be in transit, the verdict is pending.

        So such a request crashes three servers, or six when it cannot be
        distinguished from others. A crash is forgotten after retention_ms, so that
        a wrong verdict is corrected.

    HOW TO USE IT
            cw_quarantine_t* q = cw_quarantine_setup(&(cw_quarantine_desc_t){0});
            cw_verdict_t v = cw_quarantine_evaluate(q, now_ms, &fingerprint);
            if (v.kind == CW_VERDICT_QUARANTINED) { refuse it with a retry delay of v.retry_ms }
            if (cw_quarantine_observe(q, now_ms, &observation)) { it was new: send it to the other hosts }

    WHAT IT DOES NOT DO
        It watches no connections and sends nothing. The owner decides
        whether a broken connection means that the server crashed.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_fingerprint.h"

#define CW_QUARANTINE_MAX_CRASHES 6 /* recorded per request: enough for the quarantine even at half weight */

typedef enum cw_quarantine_observation_kind_t {
    CW_OBSERVED_CRASH = 0, /* the server incarnation crashed while the request ran on it */
    CW_OBSERVED_TRIAL,     /* the request is being sent to the server on trial */
    CW_OBSERVED_CLEARED,   /* the request was answered completely, or an operator released it */
    CW_OBSERVED_ALIVE,     /* the server incarnation is alive, so it did not crash earlier */
    CW_OBSERVED_COUNT
} cw_quarantine_observation_kind_t;

/* Observation that hosts exchange. */
typedef struct cw_quarantine_observation_t {
    cw_quarantine_observation_kind_t kind;
    cw_fingerprint_t request; /* all zero for CW_OBSERVED_ALIVE, and for a crash reported only for its time */
    uint64_t incarnation;     /* key of the server incarnation, 0 for CW_OBSERVED_CLEARED */
    uint32_t age_ms;          /* since the observed event */
} cw_quarantine_observation_t;

typedef enum cw_verdict_kind_t {
    CW_VERDICT_ALLOWED = 0,
    CW_VERDICT_ISOLATED,   /* route it by its fingerprint */
    CW_VERDICT_TRIAL,      /* route it by its fingerprint, and announce the trial before sending it */
    CW_VERDICT_PENDING,    /* a crash is too recent to decide: evaluate again after retry_ms */
    CW_VERDICT_QUARANTINED /* do not send it to any server */
} cw_verdict_kind_t;

typedef struct cw_verdict_t {
    cw_verdict_kind_t kind;
    uint32_t crashes;                                 /* servers that crashed under the request, trials not counted */
    uint32_t excluded_count;                          /* number of entries in incarnations */
    uint64_t incarnations[CW_QUARANTINE_MAX_CRASHES]; /* excluded: crashed under the request or have it on trial */
    uint32_t retry_ms; /* quarantined: time until it may be sent; pending: time until the decision */
} cw_verdict_t;

typedef struct cw_quarantine_desc_t {
    uint32_t entries;      /* most requests tracked, default 4096; one workspace may use a quarter of them */
    uint32_t retention_ms; /* time for which a crash counts, default 30 minutes */
    cw_allocator_t allocator;
} cw_quarantine_desc_t;

/* A request with observed crashes or trials, for operators. */
typedef struct cw_quarantine_entry_t {
    cw_fingerprint_t request;
    cw_verdict_t verdict;
    uint32_t age_ms[CW_QUARANTINE_MAX_CRASHES]; /* of the crash or trial of each of the verdict's incarnations */
    bool is_trial[CW_QUARANTINE_MAX_CRASHES];   /* whether age_ms is that of a trial */
} cw_quarantine_entry_t;

typedef struct cw_quarantine_stats_t {
    /* entries: tracked requests; quarantined: those that cw_quarantine_next_newly_quarantined has returned. */
    uint32_t entries, quarantined;
    uint64_t evicted; /* entries evicted in favour of others */
} cw_quarantine_stats_t;

typedef struct cw_quarantine_t cw_quarantine_t;

cw_quarantine_t* cw_quarantine_setup(const cw_quarantine_desc_t* desc);
void cw_quarantine_shutdown(cw_quarantine_t* q);
/* Applies an observation, received or made by this host itself. Returns whether it was new. */
bool cw_quarantine_observe(cw_quarantine_t* q, int64_t now_ms, const cw_quarantine_observation_t* observation);
/* Current verdict for the request. */
cw_verdict_t cw_quarantine_evaluate(cw_quarantine_t* q, int64_t now_ms, const cw_fingerprint_t* request);
/* Whether the request has crashes or trials: only then does a response to it need to be observed. */
bool cw_quarantine_has_crashes(const cw_quarantine_t* q, const cw_fingerprint_t* request);
/* Returns each newly quarantined request once; false when there is no other. */
bool cw_quarantine_next_newly_quarantined(cw_quarantine_t* q, int64_t now_ms, cw_quarantine_entry_t* out);
/* Exports the observations of all requests whose verdict is not CW_VERDICT_ALLOWED. The export starts at index *at and
   advances it, or sets it to 0 after the last request. Returns the number of observations written to out, at most
   max. */
uint32_t cw_quarantine_export(cw_quarantine_t* q, int64_t now_ms, uint32_t* at, cw_quarantine_observation_t* out,
                              uint32_t max);
/* Returns, for operators, the next request whose verdict is not CW_VERDICT_ALLOWED, from index *at on, and advances the
   index. Returns false when there is no other. */
bool cw_quarantine_next_entry(cw_quarantine_t* q, int64_t now_ms, uint32_t* at, cw_quarantine_entry_t* out);
cw_quarantine_stats_t cw_quarantine_stats(cw_quarantine_t* q, int64_t now_ms);

#endif /* CHALKWAY_QUARANTINE_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_QUARANTINE_IMPL_INCLUDED
#define CHALKWAY_QUARANTINE_IMPL_INCLUDED

#include <string.h>

#include "chalkway_map.h"

#define _CW_QUARANTINE_DEFAULT_ENTRIES 4096
/* A harmless request that was quarantined is needed again within minutes, while the operator needs time to fix the
   servers. A body that is sent continuously crashes three servers in this half hour. */
#define _CW_QUARANTINE_RETENTION_MS (30U * 60U * 1000U)
/* One workspace may use 1/4 of the entries, so that it cannot evict the entries of the others. */
#define _CW_QUARANTINE_WORKSPACE_DIVISOR 4
#define _CW_QUARANTINE_FULL_WEIGHT 2      /* weight of a crash that nothing else explains, in halves */
#define _CW_QUARANTINE_THRESHOLD_WEIGHT 6 /* weight for the quarantine, in halves: three full crashes */
#define _CW_QUARANTINE_ISOLATED_CRASHES 2
#define _CW_QUARANTINE_TRIAL_CRASHES 3
/* Crashes this close together may have a common cause, and observations of them have arrived after this time: hosts
   detect a server's crash within 3 ms of each other, and an observation takes 2 ms in a small fleet and 50 ms through
   two relays. */
#define _CW_QUARANTINE_COINCIDENCE_MS 100
/* Two crashes of one incarnation at least this far apart are distinct: a server that restarts under the same id is back
   after a second at the earliest, and the server list may show its new incarnation later. Reports of one crash lie
   closer together, except over links with heavy loss. */
#define _CW_QUARANTINE_DISTINCT_CRASH_MS 1000
#define _CW_QUARANTINE_CLEARED_RETENTION_MS 10000 /* of a clearance: earlier crashes may be reported late */
#define _CW_QUARANTINE_INCARNATIONS 256 /* incarnations whose crash is recorded; as many with a sign of life */

typedef struct _cw_crash_t {
    uint64_t incarnation;
    int64_t at_ms;
    bool is_trial;
} _cw_crash_t;

typedef struct _cw_tracked_request_t {
    cw_fingerprint_t request;
    bool is_used;
    int64_t cleared_at_ms; /* crashes up to this time do not count */
    int64_t updated_at_ms; /* time of the latest new observation */
    uint32_t count;        /* crashes and trials recorded below */
    _cw_crash_t crashes[CW_QUARANTINE_MAX_CRASHES];
    uint64_t weight_version; /* version for which weight was computed */
    uint32_t weight;         /* in halves */
    bool is_announced;       /* cw_quarantine_next_newly_quarantined has returned it */
} _cw_tracked_request_t;

typedef struct _cw_incarnation_event_t {
    uint64_t incarnation;
    int64_t at_ms;
} _cw_incarnation_event_t;

/* Latest event of each incarnation that had one. When the ring is full, a new incarnation replaces the oldest one. */
typedef struct _cw_incarnation_events_t {
    _cw_incarnation_event_t items[_CW_QUARANTINE_INCARNATIONS];
    uint32_t next;
} _cw_incarnation_events_t;

struct cw_quarantine_t {
    cw_quarantine_desc_t desc;
    cw_map_t by_request;
    _cw_tracked_request_t* entries;
    uint32_t used_count;   /* number of entries ever used */
    uint64_t version;      /* incremented by each new observation */
    int64_t scan_until_ms; /* an entry may become quarantined until then */
    _cw_incarnation_events_t crashed, alive;
    uint64_t evicted;
};

static cw_quarantine_desc_t _cw_quarantine_desc_defaults(const cw_quarantine_desc_t* desc) {
    cw_quarantine_desc_t d = *desc;
    d.entries = d.entries ? d.entries : _CW_QUARANTINE_DEFAULT_ENTRIES;
    d.retention_ms = d.retention_ms ? d.retention_ms : _CW_QUARANTINE_RETENTION_MS;
    return d;
}

cw_quarantine_t* cw_quarantine_setup(const cw_quarantine_desc_t* desc) {
    cw_quarantine_t* q = cw_alloc(&desc->allocator, 1, sizeof(*q));
    q->desc = _cw_quarantine_desc_defaults(desc);
    q->entries = cw_alloc(&q->desc.allocator, q->desc.entries, sizeof(*q->entries));
    q->by_request = cw_map_setup(q->desc.entries, &q->desc.allocator);
    q->version = 1;
    return q;
}

void cw_quarantine_shutdown(cw_quarantine_t* q) {
    cw_allocator_t allocator = q->desc.allocator;
    cw_map_shutdown(&q->by_request);
    cw_free(&allocator, q->entries);
    cw_free(&allocator, q);
}

/* -- server incarnations -------------------------------------------------- */

static _cw_incarnation_event_t* _cw_incarnation_events_find(_cw_incarnation_events_t* events, uint64_t incarnation) {
    for (uint32_t i = 0; i < _CW_QUARANTINE_INCARNATIONS; i++) {
        if (events->items[i].incarnation == incarnation) {
            return &events->items[i];
        }
    }
    return NULL;
}

static void _cw_incarnation_events_put(_cw_incarnation_events_t* events, uint64_t incarnation, int64_t at_ms) {
    _cw_incarnation_event_t* event = _cw_incarnation_events_find(events, incarnation);
    event = event ? event : &events->items[events->next++ % _CW_QUARANTINE_INCARNATIONS];
    *event = (_cw_incarnation_event_t){.incarnation = incarnation, .at_ms = at_ms};
}

/* Records a crash of the incarnation at its earliest reported time; returns whether it is another crash than the one
   recorded before. */
static bool _cw_quarantine_record_crash(cw_quarantine_t* q, uint64_t incarnation, int64_t at_ms) {
    const _cw_incarnation_event_t* known = _cw_incarnation_events_find(&q->crashed, incarnation);
    bool is_other_crash = !known || at_ms >= known->at_ms + _CW_QUARANTINE_DISTINCT_CRASH_MS;
    if (is_other_crash || at_ms < known->at_ms) {
        _cw_incarnation_events_put(&q->crashed, incarnation, at_ms);
    }
    return is_other_crash;
}

/* Records a sign of life; returns false when one as late or later is already recorded. */
static bool _cw_quarantine_record_alive(cw_quarantine_t* q, uint64_t incarnation, int64_t at_ms) {
    const _cw_incarnation_event_t* known = _cw_incarnation_events_find(&q->alive, incarnation);
    if (known && at_ms <= known->at_ms) {
        return false;
    }
    _cw_incarnation_events_put(&q->alive, incarnation, at_ms);
    return true;
}

/* Whether the incarnation showed a sign of life after at_ms. */
static bool _cw_quarantine_was_alive_after(cw_quarantine_t* q, uint64_t incarnation, int64_t at_ms) {
    const _cw_incarnation_event_t* alive = _cw_incarnation_events_find(&q->alive, incarnation);
    return alive && alive->at_ms > at_ms;
}

/* -- entries -------------------------------------------------------------- */

static uint64_t _cw_quarantine_key(const cw_fingerprint_t* request) {
    return cw_mix(request->workspace, request->content_hash);
}

static _cw_tracked_request_t* _cw_quarantine_find(const cw_quarantine_t* q, const cw_fingerprint_t* request) {
    uint32_t at = q->by_request.count ? cw_map_get(&q->by_request, _cw_quarantine_key(request)) : CW_MAP_NONE;
    return at == CW_MAP_NONE ? NULL : &q->entries[at];
}

static void _cw_quarantine_remove(cw_quarantine_t* q, _cw_tracked_request_t* entry) {
    cw_map_remove(&q->by_request, _cw_quarantine_key(&entry->request));
    *entry = (_cw_tracked_request_t){0};
}

/* Removes crashes that are too old, were disproved by a sign of life, or precede the clearance of the request. */
static void _cw_quarantine_prune(cw_quarantine_t* q, _cw_tracked_request_t* entry, int64_t now_ms) {
    uint32_t kept_count = 0;
    for (uint32_t i = 0; i < entry->count; i++) {
        const _cw_crash_t* crash = &entry->crashes[i];
        bool is_expired =
            crash->at_ms <= entry->cleared_at_ms || now_ms - crash->at_ms >= (int64_t)q->desc.retention_ms;
        if (!is_expired && (crash->is_trial || !_cw_quarantine_was_alive_after(q, crash->incarnation, crash->at_ms))) {
            entry->crashes[kept_count++] = *crash;
        }
    }
    if (kept_count != entry->count) {
        entry->count = kept_count;
        entry->weight_version = 0;
        entry->is_announced = false;
    }
    if (!kept_count && now_ms - entry->updated_at_ms >= _CW_QUARANTINE_CLEARED_RETENTION_MS) {
        _cw_quarantine_remove(q, entry);
    }
}

static bool _cw_quarantine_has_less_evidence(const _cw_tracked_request_t* a, const _cw_tracked_request_t* b) {
    return a->count != b->count ? a->count < b->count : a->updated_at_ms < b->updated_at_ms;
}

/* Returns an entry for a request of the workspace: a free one, or the evicted entry with the least evidence. When the
   workspace has used up its share, an entry of the workspace itself is evicted. */
static _cw_tracked_request_t* _cw_quarantine_alloc(cw_quarantine_t* q, uint64_t workspace) {
    _cw_tracked_request_t* free_entry = NULL;
    _cw_tracked_request_t* weakest = NULL;
    _cw_tracked_request_t* own_weakest = NULL;
    uint32_t own_count = 0;
    for (uint32_t i = 0; i < q->used_count; i++) {
        _cw_tracked_request_t* entry = &q->entries[i];
        if (!entry->is_used) {
            free_entry = entry;
            continue;
        }
        weakest = !weakest || _cw_quarantine_has_less_evidence(entry, weakest) ? entry : weakest;
        if (entry->request.workspace == workspace) {
            own_weakest = !own_weakest || _cw_quarantine_has_less_evidence(entry, own_weakest) ? entry : own_weakest;
            own_count++;
        }
    }
    bool has_used_share = own_count >= q->desc.entries / _CW_QUARANTINE_WORKSPACE_DIVISOR;
    if (!has_used_share && !free_entry && q->used_count < q->desc.entries) {
        free_entry = &q->entries[q->used_count++];
    }
    if (!has_used_share && free_entry) {
        return free_entry;
    }
    _cw_tracked_request_t* victim = has_used_share && own_weakest ? own_weakest : weakest;
    _cw_quarantine_remove(q, victim);
    q->evicted++;
    return victim;
}

static _cw_tracked_request_t* _cw_quarantine_find_or_add(cw_quarantine_t* q, const cw_fingerprint_t* request) {
    _cw_tracked_request_t* entry = _cw_quarantine_find(q, request);
    if (!entry) {
        entry = _cw_quarantine_alloc(q, request->workspace);
        *entry = (_cw_tracked_request_t){.request = *request, .is_used = true, .cleared_at_ms = INT64_MIN / 2};
        cw_map_put(&q->by_request, _cw_quarantine_key(request), (uint32_t)(entry - q->entries));
    }
    return entry;
}

/* -- weight --------------------------------------------------------------- */

static bool _cw_quarantine_is_same_crash(const _cw_crash_t* crash, uint64_t incarnation, int64_t at_ms) {
    int64_t distance_ms = crash->at_ms > at_ms ? crash->at_ms - at_ms : at_ms - crash->at_ms;
    return crash->incarnation == incarnation && distance_ms < _CW_QUARANTINE_DISTINCT_CRASH_MS;
}

/* Whether the request ran on the incarnation when it crashed at at_ms. Crash times less than
   _CW_QUARANTINE_DISTINCT_CRASH_MS apart count as the same crash; trials do not count. */
static bool _cw_quarantine_has_crash(const _cw_tracked_request_t* entry, uint64_t incarnation, int64_t at_ms) {
    for (uint32_t i = 0; i < entry->count; i++) {
        if (!entry->crashes[i].is_trial && _cw_quarantine_is_same_crash(&entry->crashes[i], incarnation, at_ms)) {
            return true;
        }
    }
    return false;
}

/* Trial of the request on the incarnation; NULL when there is none. */
static _cw_crash_t* _cw_quarantine_find_trial(_cw_tracked_request_t* entry, uint64_t incarnation) {
    for (uint32_t i = 0; i < entry->count; i++) {
        if (entry->crashes[i].is_trial && entry->crashes[i].incarnation == incarnation) {
            return &entry->crashes[i];
        }
    }
    return NULL;
}

/* Number of the request's other crashes, without trials. */
static uint32_t _cw_quarantine_count_other_crashes(const _cw_tracked_request_t* entry, uint64_t incarnation,
                                                   int64_t at_ms) {
    uint32_t others = 0;
    for (uint32_t i = 0; i < entry->count; i++) {
        others += !entry->crashes[i].is_trial && !_cw_quarantine_is_same_crash(&entry->crashes[i], incarnation, at_ms);
    }
    return others;
}

/* Another server that crashed at the same moment without the request, which thus cannot have caused both crashes; NULL
   when there is none. */
static const _cw_incarnation_event_t* _cw_quarantine_find_unrelated_crash(const cw_quarantine_t* q,
                                                                          const _cw_tracked_request_t* entry,
                                                                          const _cw_crash_t* crash) {
    for (uint32_t i = 0; i < _CW_QUARANTINE_INCARNATIONS; i++) {
        const _cw_incarnation_event_t* other = &q->crashed.items[i];
        int64_t distance_ms = other->at_ms > crash->at_ms ? other->at_ms - crash->at_ms : crash->at_ms - other->at_ms;
        bool is_coincident = other->incarnation && distance_ms <= _CW_QUARANTINE_COINCIDENCE_MS;
        if (is_coincident && !_cw_quarantine_has_crash(entry, other->incarnation, other->at_ms)) {
            return other;
        }
    }
    return NULL;
}

/* Whether another request that ran on the server, with at least two other crashes, may have caused this crash. */
static bool _cw_quarantine_has_other_suspect(const cw_quarantine_t* q, const _cw_tracked_request_t* entry,
                                             const _cw_crash_t* crash) {
    for (uint32_t i = 0; i < q->used_count; i++) {
        const _cw_tracked_request_t* other = &q->entries[i];
        if (other->is_used && other != entry && _cw_quarantine_has_crash(other, crash->incarnation, crash->at_ms) &&
            _cw_quarantine_count_other_crashes(other, crash->incarnation, crash->at_ms) >=
                _CW_QUARANTINE_ISOLATED_CRASHES) {
            return true;
        }
    }
    return false;
}

static uint32_t _cw_quarantine_crash_weight(const cw_quarantine_t* q, const _cw_tracked_request_t* entry,
                                            const _cw_crash_t* crash) {
    bool counts_half = crash->is_trial || _cw_quarantine_find_unrelated_crash(q, entry, crash) ||
                       _cw_quarantine_has_other_suspect(q, entry, crash);
    return counts_half ? 1 : _CW_QUARANTINE_FULL_WEIGHT;
}

static uint32_t _cw_quarantine_weight(const cw_quarantine_t* q, _cw_tracked_request_t* entry) {
    if (entry->weight_version == q->version) {
        return entry->weight;
    }
    entry->weight = 0;
    for (uint32_t i = 0; i < entry->count; i++) {
        entry->weight += _cw_quarantine_crash_weight(q, entry, &entry->crashes[i]);
    }
    entry->weight_version = q->version;
    return entry->weight;
}

/* Time until enough crashes have expired for the weight to fall below that of the quarantine. */
static uint32_t _cw_quarantine_remaining_ms(const cw_quarantine_t* q, _cw_tracked_request_t* entry, int64_t now_ms) {
    uint32_t weight = _cw_quarantine_weight(q, entry);
    int64_t until_ms = now_ms;
    int64_t from_ms = INT64_MIN;
    while (weight >= _CW_QUARANTINE_THRESHOLD_WEIGHT) {
        const _cw_crash_t* oldest = NULL;
        for (uint32_t i = 0; i < entry->count; i++) {
            const _cw_crash_t* crash = &entry->crashes[i];
            bool is_later = crash->at_ms > from_ms;
            oldest = is_later && (!oldest || crash->at_ms < oldest->at_ms) ? crash : oldest;
        }
        if (!oldest) {
            break;
        }
        from_ms = oldest->at_ms;
        until_ms = oldest->at_ms + q->desc.retention_ms;
        for (uint32_t i = 0; i < entry->count; i++) {
            const _cw_crash_t* crash = &entry->crashes[i];
            weight -= crash->at_ms == from_ms ? _cw_quarantine_crash_weight(q, entry, crash) : 0;
        }
    }
    return until_ms > now_ms ? (uint32_t)(until_ms - now_ms) : 1;
}

/* Time until the observations that may halve a recent crash have arrived; 0 when the weight suffices for the quarantine
   even with all recent crashes halved. */
static uint32_t _cw_quarantine_pending_ms(const cw_quarantine_t* q, const _cw_tracked_request_t* entry,
                                          int64_t now_ms) {
    uint32_t min_weight = entry->weight;
    int64_t latest_ms = 0;
    for (uint32_t i = 0; i < entry->count; i++) {
        const _cw_crash_t* crash = &entry->crashes[i];
        if (now_ms - crash->at_ms < _CW_QUARANTINE_COINCIDENCE_MS) {
            min_weight -= _cw_quarantine_crash_weight(q, entry, crash) - 1;
            latest_ms = crash->at_ms > latest_ms ? crash->at_ms : latest_ms;
        }
    }
    return min_weight >= _CW_QUARANTINE_THRESHOLD_WEIGHT
               ? 0
               : (uint32_t)(latest_ms + _CW_QUARANTINE_COINCIDENCE_MS - now_ms);
}

static cw_verdict_t _cw_quarantine_decide(const cw_quarantine_t* q, _cw_tracked_request_t* entry, int64_t now_ms) {
    cw_verdict_t v = {.excluded_count = entry->count};
    for (uint32_t i = 0; i < entry->count; i++) {
        v.incarnations[i] = entry->crashes[i].incarnation;
        v.crashes += !entry->crashes[i].is_trial;
    }
    if (entry->count < _CW_QUARANTINE_TRIAL_CRASHES) { /* too few for the quarantine: skips the scan of all entries */
        v.kind = entry->count < _CW_QUARANTINE_ISOLATED_CRASHES ? CW_VERDICT_ALLOWED : CW_VERDICT_ISOLATED;
        return v;
    }
    if (_cw_quarantine_weight(q, entry) < _CW_QUARANTINE_THRESHOLD_WEIGHT) {
        v.kind = CW_VERDICT_TRIAL;
        return v;
    }
    v.retry_ms = _cw_quarantine_pending_ms(q, entry, now_ms);
    v.kind = v.retry_ms ? CW_VERDICT_PENDING : CW_VERDICT_QUARANTINED;
    v.retry_ms = v.retry_ms ? v.retry_ms : _cw_quarantine_remaining_ms(q, entry, now_ms);
    return v;
}

/* -- observations --------------------------------------------------------- */

/* Records a clearance, also for a request without a crash: the observation of an earlier crash may arrive late. */
static bool _cw_quarantine_add_clearance(cw_quarantine_t* q, const cw_fingerprint_t* request, int64_t at_ms,
                                         int64_t now_ms) {
    _cw_tracked_request_t* entry = _cw_quarantine_find_or_add(q, request);
    if (at_ms <= entry->cleared_at_ms) {
        return false;
    }
    entry->cleared_at_ms = at_ms;
    entry->updated_at_ms = now_ms;
    uint32_t before = entry->count;
    _cw_quarantine_prune(q, entry, now_ms);
    return entry->count != before;
}

static bool _cw_quarantine_add_crash(cw_quarantine_t* q, const cw_quarantine_observation_t* observation, int64_t at_ms,
                                     int64_t now_ms) {
    bool is_trial = observation->kind == CW_OBSERVED_TRIAL;
    if (now_ms - at_ms >= (int64_t)q->desc.retention_ms ||
        (!is_trial && _cw_quarantine_was_alive_after(q, observation->incarnation, at_ms))) {
        return false;
    }
    bool is_distinct = !is_trial && _cw_quarantine_record_crash(q, observation->incarnation, at_ms);
    if (!observation->request.content_hash) {
        return is_distinct;
    }
    _cw_tracked_request_t* entry = _cw_quarantine_find_or_add(q, &observation->request);
    _cw_quarantine_prune(q, entry, now_ms);
    if (!entry->is_used) { /* removed above, since it had no crashes left */
        entry = _cw_quarantine_find_or_add(q, &observation->request);
    }
    _cw_crash_t* trial = _cw_quarantine_find_trial(entry, observation->incarnation);
    if (at_ms <= entry->cleared_at_ms || _cw_quarantine_has_crash(entry, observation->incarnation, at_ms) ||
        (is_trial && trial)) {
        return false;
    }
    if (!trial && entry->count == CW_QUARANTINE_MAX_CRASHES) {
        return false;
    }
    trial = trial ? trial : &entry->crashes[entry->count++]; /* a crash replaces the trial on the same server */
    *trial = (_cw_crash_t){.incarnation = observation->incarnation, .at_ms = at_ms, .is_trial = is_trial};
    entry->updated_at_ms = now_ms;
    return true;
}

bool cw_quarantine_observe(cw_quarantine_t* q, int64_t now_ms, const cw_quarantine_observation_t* observation) {
    int64_t at_ms = now_ms - observation->age_ms;
    bool is_new = false;
    switch (observation->kind) {
        case CW_OBSERVED_CRASH:
        case CW_OBSERVED_TRIAL:
            is_new = observation->incarnation && _cw_quarantine_add_crash(q, observation, at_ms, now_ms);
            break;
        case CW_OBSERVED_CLEARED:
            is_new = observation->request.content_hash &&
                     _cw_quarantine_add_clearance(q, &observation->request, at_ms, now_ms);
            break;
        case CW_OBSERVED_ALIVE:
            is_new = observation->incarnation && _cw_quarantine_record_alive(q, observation->incarnation, at_ms);
            break;
        case CW_OBSERVED_COUNT:
            break;
    }
    if (is_new) {
        q->version++;
        q->scan_until_ms = now_ms + 2LL * _CW_QUARANTINE_COINCIDENCE_MS;
    }
    return is_new;
}

cw_verdict_t cw_quarantine_evaluate(cw_quarantine_t* q, int64_t now_ms, const cw_fingerprint_t* request) {
    _cw_tracked_request_t* entry = _cw_quarantine_find(q, request);
    if (entry) {
        _cw_quarantine_prune(q, entry, now_ms);
    }
    return entry && entry->is_used ? _cw_quarantine_decide(q, entry, now_ms) : (cw_verdict_t){0};
}

bool cw_quarantine_has_crashes(const cw_quarantine_t* q, const cw_fingerprint_t* request) {
    const _cw_tracked_request_t* entry = _cw_quarantine_find(q, request);
    return entry && entry->count;
}

/* -- export --------------------------------------------------------------- */

static uint32_t _cw_quarantine_age_ms(int64_t at_ms, int64_t now_ms) {
    return now_ms > at_ms ? (uint32_t)(now_ms - at_ms) : 0;
}

static cw_quarantine_entry_t _cw_quarantine_describe(const _cw_tracked_request_t* entry, const cw_verdict_t* verdict,
                                                     int64_t now_ms) {
    cw_quarantine_entry_t out = {.request = entry->request, .verdict = *verdict};
    for (uint32_t i = 0; i < entry->count; i++) {
        out.age_ms[i] = _cw_quarantine_age_ms(entry->crashes[i].at_ms, now_ms);
        out.is_trial[i] = entry->crashes[i].is_trial;
    }
    return out;
}

/* Next entry from index *at on whose verdict is not CW_VERDICT_ALLOWED. */
static _cw_tracked_request_t* _cw_quarantine_next_restricted(cw_quarantine_t* q, int64_t now_ms, uint32_t* at,
                                                             cw_verdict_t* verdict) {
    while (*at < q->used_count) {
        _cw_tracked_request_t* entry = &q->entries[(*at)++];
        if (entry->is_used) {
            _cw_quarantine_prune(q, entry, now_ms);
        }
        *verdict = entry->is_used ? _cw_quarantine_decide(q, entry, now_ms) : (cw_verdict_t){0};
        if (verdict->kind != CW_VERDICT_ALLOWED) {
            return entry;
        }
    }
    return NULL;
}

uint32_t cw_quarantine_export(cw_quarantine_t* q, int64_t now_ms, uint32_t* at, cw_quarantine_observation_t* out,
                              uint32_t max) {
    uint32_t count = 0;
    cw_verdict_t verdict;
    /* Each crash may be exported with an unrelated one that halves its weight. */
    while (count + 2 * CW_QUARANTINE_MAX_CRASHES <= max) {
        const _cw_tracked_request_t* entry = _cw_quarantine_next_restricted(q, now_ms, at, &verdict);
        if (!entry) {
            *at = 0;
            break;
        }
        for (uint32_t i = 0; i < entry->count; i++) {
            out[count++] = (cw_quarantine_observation_t){
                .kind = entry->crashes[i].is_trial ? CW_OBSERVED_TRIAL : CW_OBSERVED_CRASH,
                .request = entry->request,
                .incarnation = entry->crashes[i].incarnation,
                .age_ms = _cw_quarantine_age_ms(entry->crashes[i].at_ms, now_ms)};
            const _cw_incarnation_event_t* unrelated =
                _cw_quarantine_find_unrelated_crash(q, entry, &entry->crashes[i]);
            if (unrelated) {
                out[count++] = (cw_quarantine_observation_t){.kind = CW_OBSERVED_CRASH,
                                                             .incarnation = unrelated->incarnation,
                                                             .age_ms = _cw_quarantine_age_ms(unrelated->at_ms, now_ms)};
            }
        }
    }
    return count;
}

bool cw_quarantine_next_entry(cw_quarantine_t* q, int64_t now_ms, uint32_t* at, cw_quarantine_entry_t* out) {
    cw_verdict_t verdict;
    const _cw_tracked_request_t* entry = _cw_quarantine_next_restricted(q, now_ms, at, &verdict);
    if (!entry) {
        return false;
    }
    *out = _cw_quarantine_describe(entry, &verdict, now_ms);
    return true;
}

bool cw_quarantine_next_newly_quarantined(cw_quarantine_t* q, int64_t now_ms, cw_quarantine_entry_t* out) {
    for (uint32_t i = 0; i < q->used_count && now_ms < q->scan_until_ms; i++) {
        _cw_tracked_request_t* entry = &q->entries[i];
        if (!entry->is_used || entry->is_announced || entry->count < _CW_QUARANTINE_TRIAL_CRASHES) {
            continue;
        }
        cw_verdict_t verdict = _cw_quarantine_decide(q, entry, now_ms);
        if (verdict.kind == CW_VERDICT_QUARANTINED) {
            entry->is_announced = true;
            *out = _cw_quarantine_describe(entry, &verdict, now_ms);
            return true;
        }
    }
    return false;
}

cw_quarantine_stats_t cw_quarantine_stats(cw_quarantine_t* q, int64_t now_ms) {
    cw_quarantine_stats_t stats = {.evicted = q->evicted};
    for (uint32_t i = 0; i < q->used_count; i++) {
        _cw_tracked_request_t* entry = &q->entries[i];
        if (entry->is_used) {
            _cw_quarantine_prune(q, entry, now_ms);
        }
        stats.entries += entry->is_used && entry->count;
        stats.quarantined += entry->is_used && entry->is_announced;
    }
    return stats;
}

#endif /* CHALKWAY_QUARANTINE_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
