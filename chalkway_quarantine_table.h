#ifndef CHALKWAY_QUARANTINE_TABLE_H
#define CHALKWAY_QUARANTINE_TABLE_H
/*
    chalkway_quarantine_table.h -- tracked suspects of a quarantine

    WHAT IT IS
        The private state of chalkway_quarantine.h: the suspects with their
        crashes, trials and clearances, which of them give way when the table
        is full, and the latest signs of servers.

    HOW TO USE IT
        Only through chalkway_quarantine.h, which includes it in its
        implementation.

    WHAT IT DOES NOT DO
        It decides nothing: weights and verdicts are in chalkway_quarantine.h.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_incarnation_events.h"
#include "chalkway_map.h"
#include "chalkway_quarantine.h"

#endif /* CHALKWAY_QUARANTINE_TABLE_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_QUARANTINE_TABLE_IMPL_INCLUDED
#define CHALKWAY_QUARANTINE_TABLE_IMPL_INCLUDED

#define _CW_QUARANTINE_DEFAULT_ENTRIES 4096
/* A harmless request that was quarantined is needed again within minutes, while the operator needs time to fix the
   servers. A body that is sent continuously crashes three servers in this half hour. */
#define _CW_QUARANTINE_RETENTION_MS (30U * 60U * 1000U)
/* One workspace may use 1/4 of the entries, so that it cannot evict the entries of the others. */
#define _CW_QUARANTINE_WORKSPACE_DIVISOR 4
/* Two crashes of one incarnation at least this far apart are distinct: a server that restarts under the same id is back
   after a second at the earliest, and the server list may show its new incarnation later. Reports of one crash lie
   closer together, except over links with heavy loss. */
#define _CW_QUARANTINE_DISTINCT_CRASH_MS 1000
#define _CW_QUARANTINE_CLEARED_RETENTION_MS 10000 /* of a clearance: earlier crashes may be reported late */
#define _CW_QUARANTINE_CLEARANCES 2               /* pools whose latest clearance of a suspect is recorded */

/* Time of a crash: at_ms, or up to delay_ms later. */
typedef struct _cw_crash_time_t {
    int64_t at_ms;
    uint32_t delay_ms;
} _cw_crash_time_t;

typedef struct _cw_crash_t {
    uint64_t incarnation;
    int64_t at_ms;
    uint32_t delay_ms; /* the crash may have been up to so much later */
    uint32_t pool;
    uint32_t version;
    cw_run_phase_t phase;
    bool is_known, is_trial;
} _cw_crash_t;

typedef struct _cw_clearance_t {
    uint32_t pool; /* 0: all pools */
    int64_t at_ms; /* crashes up to this time do not count; 0: none */
} _cw_clearance_t;

typedef struct _cw_tracked_t {
    cw_fingerprint_t suspect;
    bool is_used;
    int64_t updated_at_ms; /* time of the latest new observation */
    uint32_t count;        /* crashes and trials recorded below */
    _cw_crash_t crashes[CW_QUARANTINE_MAX_CRASHES];
    _cw_clearance_t cleared[_CW_QUARANTINE_CLEARANCES];
    bool is_announced; /* cw_quarantine_next_newly_quarantined has returned it */
} _cw_tracked_t;

struct cw_quarantine_t {
    cw_quarantine_desc_t desc;
    cw_map_t by_suspect;
    _cw_tracked_t* entries;
    uint32_t used_count;   /* number of entries ever used */
    uint64_t version;      /* incremented by each new observation and each crash that is dropped */
    int64_t scan_until_ms; /* an entry may become quarantined until then */
    uint32_t* rivals;      /* indexes of the entries with at least _CW_QUARANTINE_RIVAL_CRASHES */
    uint32_t rival_count;
    uint64_t rivals_version; /* version for which rivals was computed */
    cw_incarnation_events_t crashed, alive;
    cw_known_parts_t known_parts; /* that this host saw answered */
    uint64_t evicted;
};

static cw_quarantine_desc_t _cw_quarantine_desc_defaults(const cw_quarantine_desc_t* desc) {
    cw_quarantine_desc_t d = *desc;
    d.entries = d.entries ? d.entries : _CW_QUARANTINE_DEFAULT_ENTRIES;
    d.retention_ms = d.retention_ms ? d.retention_ms : _CW_QUARANTINE_RETENTION_MS;
    return d;
}

/* -- server incarnations -------------------------------------------------- */

static _cw_crash_time_t _cw_crash_time(const _cw_crash_t* crash) {
    return (_cw_crash_time_t){.at_ms = crash->at_ms, .delay_ms = crash->delay_ms};
}

static _cw_crash_time_t _cw_event_time(const cw_incarnation_event_t* event) {
    return (_cw_crash_time_t){.at_ms = event->at_ms, .delay_ms = event->delay_ms};
}

/* Whether two times of crashes of one incarnation may be those of one crash. */
static bool _cw_crash_time_is_same(_cw_crash_time_t a, _cw_crash_time_t b) {
    return a.at_ms < b.at_ms + b.delay_ms + _CW_QUARANTINE_DISTINCT_CRASH_MS &&
           b.at_ms < a.at_ms + a.delay_ms + _CW_QUARANTINE_DISTINCT_CRASH_MS;
}

/* Records a crash of the incarnation at its earliest reported time, of the most exact ones, and in its most suspicious
   phase. Returns whether it is another crash than the one recorded before, or in a more suspicious phase. */
static bool _cw_quarantine_record_crash(cw_quarantine_t* q, uint64_t incarnation, _cw_crash_time_t time,
                                        cw_run_phase_t phase) {
    cw_incarnation_event_t event = {
        .incarnation = incarnation, .at_ms = time.at_ms, .delay_ms = time.delay_ms, .phase = phase};
    const cw_incarnation_event_t* known = cw_incarnation_events_find(&q->crashed, incarnation);
    if (!known || time.at_ms >= known->at_ms + known->delay_ms + _CW_QUARANTINE_DISTINCT_CRASH_MS) {
        cw_incarnation_events_put(&q->crashed, &event);
        return true;
    }
    bool is_more_suspicious = cw_run_phase_is_more_suspicious(phase, known->phase);
    bool is_better = time.delay_ms != known->delay_ms ? time.delay_ms < known->delay_ms : time.at_ms < known->at_ms;
    event.at_ms = is_better ? time.at_ms : known->at_ms;
    event.delay_ms = is_better ? time.delay_ms : known->delay_ms;
    event.phase = is_more_suspicious ? phase : known->phase;
    cw_incarnation_events_put(&q->crashed, &event);
    return is_more_suspicious;
}

/* Whether the incarnation showed a sign of life after at_ms. */
static bool _cw_quarantine_was_alive_after(cw_quarantine_t* q, uint64_t incarnation, int64_t at_ms) {
    const cw_incarnation_event_t* alive = cw_incarnation_events_find(&q->alive, incarnation);
    return alive && alive->at_ms > at_ms;
}

/* -- clearances ----------------------------------------------------------- */

/* Time up to which crashes in the pool do not count. */
static int64_t _cw_tracked_cleared_at_ms(const _cw_tracked_t* entry, uint32_t pool) {
    int64_t at_ms = INT64_MIN;
    for (uint32_t i = 0; i < _CW_QUARANTINE_CLEARANCES; i++) {
        const _cw_clearance_t* cleared = &entry->cleared[i];
        if (cleared->at_ms && (!cleared->pool || cleared->pool == pool) && cleared->at_ms > at_ms) {
            at_ms = cleared->at_ms;
        }
    }
    return at_ms;
}

/* Records the clearance instead of the pool's earlier one, or of the oldest. */
static void _cw_tracked_put_clearance(_cw_tracked_t* entry, uint32_t pool, int64_t at_ms) {
    _cw_clearance_t* target = &entry->cleared[0];
    for (uint32_t i = 0; i < _CW_QUARANTINE_CLEARANCES; i++) {
        _cw_clearance_t* cleared = &entry->cleared[i];
        if (cleared->at_ms && cleared->pool == pool) {
            target = cleared;
            break;
        }
        target = cleared->at_ms < target->at_ms ? cleared : target;
    }
    *target = (_cw_clearance_t){.pool = pool, .at_ms = at_ms};
}

/* -- entries -------------------------------------------------------------- */

static uint64_t _cw_quarantine_key(const cw_fingerprint_t* suspect) {
    return cw_mix(suspect->workspace, suspect->content_hash);
}

static _cw_tracked_t* _cw_quarantine_find(const cw_quarantine_t* q, const cw_fingerprint_t* suspect) {
    uint32_t at = q->by_suspect.count ? cw_map_get(&q->by_suspect, _cw_quarantine_key(suspect)) : CW_MAP_NONE;
    return at == CW_MAP_NONE ? NULL : &q->entries[at];
}

static void _cw_quarantine_remove(cw_quarantine_t* q, _cw_tracked_t* entry) {
    cw_map_remove(&q->by_suspect, _cw_quarantine_key(&entry->suspect));
    *entry = (_cw_tracked_t){0};
    q->version++;
}

/* Removes crashes that are too old, were disproved by a sign of life, or precede a clearance. */
static void _cw_quarantine_prune(cw_quarantine_t* q, _cw_tracked_t* entry, int64_t now_ms) {
    uint32_t kept_count = 0;
    for (uint32_t i = 0; i < entry->count; i++) {
        const _cw_crash_t* crash = &entry->crashes[i];
        bool is_expired = crash->at_ms <= _cw_tracked_cleared_at_ms(entry, crash->pool) ||
                          now_ms - crash->at_ms >= (int64_t)q->desc.retention_ms;
        if (!is_expired && (crash->is_trial ||
                            !_cw_quarantine_was_alive_after(q, crash->incarnation, crash->at_ms + crash->delay_ms))) {
            entry->crashes[kept_count++] = *crash;
        }
    }
    if (kept_count != entry->count) {
        entry->count = kept_count;
        entry->is_announced = false;
        q->version++;
    }
    if (!kept_count && now_ms - entry->updated_at_ms >= _CW_QUARANTINE_CLEARED_RETENTION_MS) {
        _cw_quarantine_remove(q, entry);
    }
}

static bool _cw_quarantine_has_less_evidence(const _cw_tracked_t* a, const _cw_tracked_t* b) {
    return a->count != b->count ? a->count < b->count : a->updated_at_ms < b->updated_at_ms;
}

/* Returns an entry for a suspect of the workspace: a free one, or the evicted entry with the least evidence. When the
   workspace has used up its share, an entry of the workspace itself is evicted. */
static _cw_tracked_t* _cw_quarantine_alloc(cw_quarantine_t* q, uint64_t workspace) {
    _cw_tracked_t* free_entry = NULL;
    _cw_tracked_t* weakest = NULL;
    _cw_tracked_t* own_weakest = NULL;
    uint32_t own_count = 0;
    for (uint32_t i = 0; i < q->used_count; i++) {
        _cw_tracked_t* entry = &q->entries[i];
        if (!entry->is_used) {
            free_entry = entry;
            continue;
        }
        weakest = !weakest || _cw_quarantine_has_less_evidence(entry, weakest) ? entry : weakest;
        if (entry->suspect.workspace == workspace) {
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
    _cw_tracked_t* victim = has_used_share && own_weakest ? own_weakest : weakest;
    _cw_quarantine_remove(q, victim);
    q->evicted++;
    return victim;
}

static _cw_tracked_t* _cw_quarantine_find_or_add(cw_quarantine_t* q, const cw_fingerprint_t* suspect) {
    _cw_tracked_t* entry = _cw_quarantine_find(q, suspect);
    if (!entry) {
        entry = _cw_quarantine_alloc(q, suspect->workspace);
        *entry = (_cw_tracked_t){.suspect = *suspect, .is_used = true};
        cw_map_put(&q->by_suspect, _cw_quarantine_key(suspect), (uint32_t)(entry - q->entries));
    }
    return entry;
}

#endif /* CHALKWAY_QUARANTINE_TABLE_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
