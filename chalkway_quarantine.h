#ifndef CHALKWAY_QUARANTINE_H
#define CHALKWAY_QUARANTINE_H
/*
    chalkway_quarantine.h -- detects and quarantines queries of death

    WHAT IT IS
        A query of death is a request that crashes every server that starts to
        run it, and that is sent again under new ids and through any host. The
        cause may be all of its content, or one part of its prompt, which
        requests with nothing else in common share. All of these are suspects
        of the request (cw_suspects_t). Hosts exchange observations: which
        server crashed while a request with which suspects ran on it. The
        observations of a suspect form a set with one crash per server
        incarnation, so their order, duplicates, and several hosts that report
        the same crash do not matter.

        All requests that ran on a server when it crashed get the same
        observation. These rules separate the cause from the bystanders:

        - a response clears the suspects of its request of the crashes before
          it, in the pool that responded;
        - a host knows the parts that it saw answered recently. It observes
          their crashes only if it knows all parts of the request. Crashes of
          a part that any host knows count half, or not at all when something else may have caused them: a
          popular part is in many requests that crash servers;
        - a suspect is weighed against those that the request lacks: whichever
          of its own is the cause, the request must not be sent;
        - a crash does not count when a suspect with more crashes was there
          too. It counts half when one with equally many, at least three,
          was there, when another server crashed at the same moment without
          the suspect, unless both had just begun to respond to a request, and
          when another request was in a more suspicious phase: a server that
          crashes as it begins to respond has sent the head of the response
          at most (cw_run_phase_t);
        - it also counts half when at least three servers, and as many as
          crashed with the suspect, crashed without it within a second: that
          is how a release in place looks;
        - it also counts half once all servers of the pool have another
          software version than the one that crashed: requests with the
          suspect are on trial there, and an answer clears it;
        - all crashes of a content count half once a server has written its
          response for a while: a query of death crashes servers as they
          begin, and a long response meets many unrelated ends;
        - an incarnation that shows a sign of life after its crash did not
          crash: that observation is dropped.

        The verdict on a content follows from its crashes:

        - up to one: allowed;
        - two: isolated. The request is routed by its fingerprint instead of
          by load, so that suspected requests share few servers and copies of
          one request use the same one;
        - three or more, with a weight below three: on trial. Each further
          attempt is announced to the other hosts before it is sent. For two
          seconds it limits further trials as if it were half a crash: while
          crashes and open trials weigh three, the verdict is pending. It
          counts as a crash only if its server crashes;
        - crashes with a weight of three: quarantined. When that depends on a
          crash so recent that observations of other crashes at the same
          moment may still be in transit, the verdict is pending.

        Many other requests may share a part, so routing them all to one
        server is no option. From the first full crash on, or three crashes of
        any weight, one request with the part is on trial at a time, and for
        the others the verdict is pending. A request claims the trial, and is
        sent after CW_QUARANTINE_CLAIM_MS if no other claim precedes its own.
        At a weight of three the part is quarantined. The verdict on a request
        is the most severe one on any of its suspects.

        So a query of death crashes three servers, four when its requests have
        more than one suspect, or six when it cannot be distinguished from
        others; what was sent before hosts knew of the first crash may add to
        them. A crash is forgotten after retention_ms, so that a wrong
        verdict is corrected.

    HOW TO USE IT
            cw_quarantine_t* q = cw_quarantine_setup(&(cw_quarantine_desc_t){0});
            cw_verdict_t v = cw_quarantine_evaluate(q, now_ms, &suspects, &target);
            if (v.kind == CW_VERDICT_QUARANTINED) { refuse it with a retry delay of v.retry_ms }
            if (cw_quarantine_observe(q, now_ms, &observation)) { it was new: send it to the other hosts }

    WHAT IT DOES NOT DO
        It watches no connections and sends nothing. The owner decides
        whether a broken connection means that the server crashed.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_incarnation_events.h"
#include "chalkway_suspects.h"

/* Crashes and trials recorded per suspect: enough for the quarantine even at half weight, with some trials. */
#define CW_QUARANTINE_MAX_CRASHES 8
#define CW_QUARANTINE_CLAIM_MS 60 /* from claiming a trial until claims of other hosts have arrived */

typedef enum cw_quarantine_observation_kind_t {
    CW_OBSERVED_CRASH = 0, /* the server incarnation crashed while a request with the suspect ran on it */
    CW_OBSERVED_TRIAL,     /* a request with the suspect is on trial */
    CW_OBSERVED_CLEARED,   /* a request with the suspect was answered, or an operator released the suspect */
    CW_OBSERVED_ALIVE,     /* the server incarnation is alive, so it did not crash earlier */
    CW_OBSERVED_COUNT
} cw_quarantine_observation_kind_t;

/* Observation that hosts exchange. */
typedef struct cw_quarantine_observation_t {
    cw_quarantine_observation_kind_t kind;
    cw_fingerprint_t suspect; /* all zero for CW_OBSERVED_ALIVE, and for a crash reported only for its time */
    uint64_t incarnation;     /* key of the server; of a part's trial: the claim; 0 for CW_OBSERVED_CLEARED */
    uint32_t pool;            /* cw_quarantine_pool of the server's pool; 0: all pools */
    uint32_t version;         /* of a crash: cw_quarantine_server_version of the server; 0: unknown */
    cw_run_phase_t phase;     /* of a crash, or of the response in a trial */
    bool is_known;            /* of a crash: the suspect is a part that was answered shortly before */
    uint32_t age_ms;          /* since the observed event; of a clearance: since the response began */
    uint32_t delay_ms;        /* not sent: the event may be younger than age_ms by up to so much */
} cw_quarantine_observation_t;

typedef enum cw_verdict_kind_t {
    CW_VERDICT_ALLOWED = 0,
    CW_VERDICT_ISOLATED,   /* route it by its fingerprint */
    CW_VERDICT_TRIAL,      /* announce the trial before sending it: its parts by claims, else its content */
    CW_VERDICT_PENDING,    /* undecided: evaluate again after retry_ms */
    CW_VERDICT_QUARANTINED /* do not send it to any server */
} cw_verdict_kind_t;

typedef struct cw_verdict_t {
    cw_verdict_kind_t kind;
    cw_fingerprint_t suspect; /* the verdict is due to it; all zero if none of the request's suspects has a crash */
    uint32_t crashes;         /* servers that crashed under the suspect, trials not counted */
    uint32_t claims;          /* bit i: part i of the request must be claimed for a trial */
    bool is_claimed;          /* the request's claim holds for all of them: it may be sent */
    bool is_content_on_trial; /* the trial of the content must be announced */
    bool is_isolated;         /* route the request by its fingerprint */
    uint32_t excluded_count;  /* number of entries in incarnations */
    /* Excluded: crashed under the content or have it on trial. */
    uint64_t incarnations[CW_QUARANTINE_MAX_CRASHES];
    uint32_t retry_ms; /* quarantined: time until it may be sent; pending: time until the next evaluation */
} cw_verdict_t;

/* Where a request is to be sent. */
typedef struct cw_quarantine_target_t {
    uint32_t pool;    /* cw_quarantine_pool; 0: any */
    uint32_t version; /* cw_quarantine_server_version of all its servers; 0: several, or unknown */
} cw_quarantine_target_t;

typedef struct cw_quarantine_desc_t {
    uint32_t entries;      /* most suspects tracked, default 4096; one workspace, and all parts, may use a quarter */
    uint32_t retention_ms; /* time for which a crash counts, default 30 minutes */
    cw_allocator_t allocator;
} cw_quarantine_desc_t;

/* A suspect with observed crashes or trials, for operators. */
typedef struct cw_quarantine_entry_t {
    cw_fingerprint_t suspect;
    cw_verdict_t verdict;
    uint32_t count; /* crashes and trials below */
    uint64_t incarnations[CW_QUARANTINE_MAX_CRASHES];
    uint32_t age_ms[CW_QUARANTINE_MAX_CRASHES];
    bool is_trial[CW_QUARANTINE_MAX_CRASHES];
} cw_quarantine_entry_t;

typedef struct cw_quarantine_stats_t {
    /* entries: tracked suspects; quarantined: those that cw_quarantine_next_newly_quarantined has returned, and how
       many of them are parts. */
    uint32_t entries, quarantined, quarantined_parts;
    uint64_t evicted; /* entries evicted in favour of others */
} cw_quarantine_stats_t;

typedef struct cw_quarantine_t cw_quarantine_t;

cw_quarantine_t* cw_quarantine_setup(const cw_quarantine_desc_t* desc);
void cw_quarantine_shutdown(cw_quarantine_t* q);
/* The value by which observations name a pool. name_id: of its name. */
uint32_t cw_quarantine_pool(uint64_t name_id);
/* The value by which observations name a version of the servers' software. version_id: its id; 0: unknown. */
uint32_t cw_quarantine_server_version(uint64_t version_id);
/* A request with these suspects was answered in the pool. */
void cw_quarantine_on_answer(cw_quarantine_t* q, int64_t now_ms, const cw_suspects_t* suspects, uint32_t pool);
/* Writes the observations, at most CW_SUSPECTS_MAX, of a request that broke in the phase as the incarnation crashed: of
   its content, and of parts unless the response had been written for a while. Returns their number. */
uint32_t cw_quarantine_observe_crash(const cw_quarantine_t* q, int64_t now_ms, const cw_suspects_t* suspects,
                                     const cw_quarantine_observation_t* crash, cw_quarantine_observation_t* out);
/* Writes the claims, at most CW_SUSPECTS_MAX, under suspects->claim of the trials that the verdict requires. Returns
   their number. */
uint32_t cw_quarantine_claims(const cw_suspects_t* suspects, const cw_verdict_t* verdict, uint32_t pool,
                              cw_quarantine_observation_t* out);
/* Writes the clearances, at most CW_SUSPECTS_MAX, of the suspects from index first on that have crashes, by a response
   in the pool that began at began_ms. Returns their number. */
uint32_t cw_quarantine_clearances(const cw_quarantine_t* q, int64_t now_ms, const cw_suspects_t* suspects,
                                  uint32_t first, uint32_t pool, int64_t began_ms, cw_quarantine_observation_t* out);
/* The incarnation has written a response to the content for a while. Writes the observation, and returns whether there
   is one to make: only of a content that has crashes. */
bool cw_quarantine_observe_survival(const cw_quarantine_t* q, const cw_suspects_t* suspects, uint64_t incarnation,
                                    uint32_t pool, cw_quarantine_observation_t* out);
/* Applies an observation, received or made by this host itself. Returns whether it was new. */
bool cw_quarantine_observe(cw_quarantine_t* q, int64_t now_ms, const cw_quarantine_observation_t* observation);
/* Current verdict on a request with these suspects to the target. */
cw_verdict_t cw_quarantine_evaluate(cw_quarantine_t* q, int64_t now_ms, const cw_suspects_t* suspects,
                                    const cw_quarantine_target_t* target);
/* Whether the suspect has crashes or trials: only then does a response need to be observed. */
bool cw_quarantine_has_crashes(const cw_quarantine_t* q, const cw_fingerprint_t* suspect);
/* Incremented whenever verdicts may have changed, except by the passing of time. */
uint64_t cw_quarantine_version(const cw_quarantine_t* q);
/* Returns each newly quarantined suspect once; false when there is no other. */
bool cw_quarantine_next_newly_quarantined(cw_quarantine_t* q, int64_t now_ms, cw_quarantine_entry_t* out);
/* Exports the observations of all suspects whose verdict is not CW_VERDICT_ALLOWED. The export starts at index *at and
   advances it, or sets it to 0 after the last suspect. Returns the number of observations written to out, at most
   max. */
uint32_t cw_quarantine_export(cw_quarantine_t* q, int64_t now_ms, uint32_t* at, cw_quarantine_observation_t* out,
                              uint32_t max);
/* Returns, for operators, the next suspect whose verdict is not CW_VERDICT_ALLOWED, from index *at on, and advances the
   index. Returns false when there is no other. */
bool cw_quarantine_next_entry(cw_quarantine_t* q, int64_t now_ms, uint32_t* at, cw_quarantine_entry_t* out);
cw_quarantine_stats_t cw_quarantine_stats(cw_quarantine_t* q, int64_t now_ms);

#endif /* CHALKWAY_QUARANTINE_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_QUARANTINE_IMPL_INCLUDED
#define CHALKWAY_QUARANTINE_IMPL_INCLUDED

#include <string.h>

#include "chalkway_quarantine_table.h"

#define _CW_QUARANTINE_FULL_WEIGHT 2       /* weight of a crash that nothing else explains, in halves */
#define _CW_QUARANTINE_HALF_WEIGHT 1       /* weight of a crash that something else may have caused */
#define _CW_QUARANTINE_THRESHOLD_WEIGHT 6  /* weight for the quarantine, in halves: three full crashes */
#define _CW_QUARANTINE_PART_TRIAL_WEIGHT 2 /* weight from which requests with a part are on trial, in halves */
#define _CW_QUARANTINE_ISOLATED_CRASHES 2
#define _CW_QUARANTINE_TRIAL_CRASHES 3
#define _CW_QUARANTINE_RIVAL_CRASHES 3 /* of a suspect that may have caused the crashes of others */
/* Other requests with a suspect on trial wait at most this long for its outcome, and look for it this often. */
#define _CW_QUARANTINE_TRIAL_MS 2000
#define _CW_QUARANTINE_TRIAL_POLL_MS 50
/* Crashes this close together may have a common cause, and observations of them have arrived after this time: hosts
   detect a server's crash within 3 ms of each other, and an observation takes 2 ms in a small fleet and 50 ms through
   two relays. */
#define _CW_QUARANTINE_COINCIDENCE_MS 100

/* Servers that end one after the other, so close together and at least so many, may do so by plan. */
#define _CW_QUARANTINE_SERIES_MS 1000
#define _CW_QUARANTINE_SERIES_CRASHES 3

/* The request on which a verdict is made: its suspects that are tracked, and where it is to be sent. */
typedef struct _cw_suspected_request_t {
    _cw_tracked_t* entries[CW_SUSPECTS_MAX];
    uint32_t count;
    cw_quarantine_target_t target;
    uint64_t claim;
} _cw_suspected_request_t;

cw_quarantine_t* cw_quarantine_setup(const cw_quarantine_desc_t* desc) {
    cw_quarantine_t* q = cw_alloc(&desc->allocator, 1, sizeof(*q));
    q->desc = _cw_quarantine_desc_defaults(desc);
    q->entries = cw_alloc(&q->desc.allocator, q->desc.entries, sizeof(*q->entries));
    q->rivals = cw_alloc(&q->desc.allocator, q->desc.entries, sizeof(*q->rivals));
    q->by_suspect = cw_map_setup(q->desc.entries, &q->desc.allocator);
    q->known_parts = cw_known_parts_setup(&q->desc.allocator);
    q->version = 1;
    return q;
}

void cw_quarantine_shutdown(cw_quarantine_t* q) {
    cw_allocator_t allocator = q->desc.allocator;
    cw_map_shutdown(&q->by_suspect);
    cw_known_parts_shutdown(&q->known_parts);
    cw_free(&allocator, q->rivals);
    cw_free(&allocator, q->entries);
    cw_free(&allocator, q);
}

static uint32_t _cw_quarantine_age_ms(int64_t at_ms, int64_t now_ms) {
    return now_ms > at_ms ? (uint32_t)(now_ms - at_ms) : 0;
}

void cw_quarantine_on_answer(cw_quarantine_t* q, int64_t now_ms, const cw_suspects_t* suspects, uint32_t pool) {
    cw_known_parts_add(&q->known_parts, now_ms, suspects, pool);
}

uint32_t cw_quarantine_observe_crash(const cw_quarantine_t* q, int64_t now_ms, const cw_suspects_t* suspects,
                                     const cw_quarantine_observation_t* crash, cw_quarantine_observation_t* out) {
    bool is_known[CW_SUSPECTS_MAX] = {false};
    bool are_all_known = true;
    for (uint32_t i = 1; i < suspects->count; i++) {
        is_known[i] = cw_known_parts_has(&q->known_parts, now_ms, &suspects->items[i], crash->pool);
        are_all_known = are_all_known && is_known[i];
    }
    uint32_t count = 0;
    for (uint32_t i = 0; i < suspects->count; i++) {
        if (i == 0 || (crash->phase != CW_RUN_WRITING && (!is_known[i] || are_all_known))) {
            out[count] = *crash;
            out[count].suspect = suspects->items[i];
            out[count++].is_known = is_known[i];
        }
    }
    return count;
}

uint32_t cw_quarantine_claims(const cw_suspects_t* suspects, const cw_verdict_t* verdict, uint32_t pool,
                              cw_quarantine_observation_t* out) {
    uint32_t count = 0;
    for (uint32_t i = 0; i < suspects->count; i++) {
        if ((verdict->claims >> i) & 1U) {
            out[count++] = (cw_quarantine_observation_t){
                .kind = CW_OBSERVED_TRIAL, .suspect = suspects->items[i], .incarnation = suspects->claim, .pool = pool};
        }
    }
    return count;
}

uint32_t cw_quarantine_clearances(const cw_quarantine_t* q, int64_t now_ms, const cw_suspects_t* suspects,
                                  uint32_t first, uint32_t pool, int64_t began_ms, cw_quarantine_observation_t* out) {
    uint32_t count = 0;
    for (uint32_t i = first; i < suspects->count; i++) {
        if (cw_quarantine_has_crashes(q, &suspects->items[i])) {
            out[count++] = (cw_quarantine_observation_t){.kind = CW_OBSERVED_CLEARED,
                                                         .suspect = suspects->items[i],
                                                         .pool = pool,
                                                         .age_ms = _cw_quarantine_age_ms(began_ms, now_ms)};
        }
    }
    return count;
}

bool cw_quarantine_observe_survival(const cw_quarantine_t* q, const cw_suspects_t* suspects, uint64_t incarnation,
                                    uint32_t pool, cw_quarantine_observation_t* out) {
    *out = (cw_quarantine_observation_t){.kind = CW_OBSERVED_TRIAL,
                                         .suspect = suspects->items[0],
                                         .incarnation = incarnation,
                                         .pool = pool,
                                         .phase = CW_RUN_WRITING};
    return cw_quarantine_has_crashes(q, &suspects->items[0]);
}

uint32_t cw_quarantine_pool(uint64_t name_id) {
    uint32_t pool = (uint32_t)name_id;
    return pool ? pool : 1;
}

uint32_t cw_quarantine_server_version(uint64_t version_id) {
    uint32_t version = (uint32_t)version_id;
    return version || !version_id ? version : 1;
}

uint64_t cw_quarantine_version(const cw_quarantine_t* q) {
    return q->version;
}

/* -- weight --------------------------------------------------------------- */

/* Crash of the suspect on the incarnation, at the time; NULL when there is none. Trials do not count. */
static _cw_crash_t* _cw_tracked_find_crash(_cw_tracked_t* entry, uint64_t incarnation, _cw_crash_time_t time) {
    for (uint32_t i = 0; i < entry->count; i++) {
        _cw_crash_t* crash = &entry->crashes[i];
        if (!crash->is_trial && crash->incarnation == incarnation &&
            _cw_crash_time_is_same(_cw_crash_time(crash), time)) {
            return crash;
        }
    }
    return NULL;
}

/* Trial of the suspect on the incarnation; NULL when there is none. */
static _cw_crash_t* _cw_tracked_find_trial(_cw_tracked_t* entry, uint64_t incarnation) {
    for (uint32_t i = 0; i < entry->count; i++) {
        if (entry->crashes[i].is_trial && entry->crashes[i].incarnation == incarnation) {
            return &entry->crashes[i];
        }
    }
    return NULL;
}

/* Number of the suspect's crashes, without trials. */
static uint32_t _cw_tracked_count_crashes(const _cw_tracked_t* entry) {
    uint32_t crashes = 0;
    for (uint32_t i = 0; i < entry->count; i++) {
        crashes += !entry->crashes[i].is_trial;
    }
    return crashes;
}

/* Lists the suspects with so many crashes that they may have caused those of others. */
static void _cw_quarantine_update_rivals(cw_quarantine_t* q) {
    if (q->rivals_version == q->version) {
        return;
    }
    q->rival_count = 0;
    for (uint32_t i = 0; i < q->used_count; i++) {
        const _cw_tracked_t* entry = &q->entries[i];
        if (entry->is_used && _cw_tracked_count_crashes(entry) >= _CW_QUARANTINE_RIVAL_CRASHES) {
            q->rivals[q->rival_count++] = i;
        }
    }
    q->rivals_version = q->version;
}

static bool _cw_suspected_request_contains(const _cw_suspected_request_t* request, const _cw_tracked_t* entry) {
    for (uint32_t i = 0; i < request->count; i++) {
        if (request->entries[i] == entry) {
            return true;
        }
    }
    return false;
}

/* Crashes of the strongest suspect outside of the request that was on the server when it crashed, in at least as
   suspicious a phase, and that was not a known part. 0: there was none. */
static uint32_t _cw_quarantine_rival_crashes(cw_quarantine_t* q, const _cw_suspected_request_t* request,
                                             uint64_t incarnation, _cw_crash_time_t time, cw_run_phase_t phase) {
    uint32_t most = 0;
    for (uint32_t i = 0; i < q->rival_count; i++) {
        _cw_tracked_t* rival = &q->entries[q->rivals[i]];
        const _cw_crash_t* crash = _cw_tracked_find_crash(rival, incarnation, time);
        if (crash && !crash->is_known && !cw_run_phase_is_more_suspicious(phase, crash->phase) &&
            !_cw_suspected_request_contains(request, rival)) {
            uint32_t crashes = _cw_tracked_count_crashes(rival);
            most = crashes > most ? crashes : most;
        }
    }
    return most;
}

/* Whether two servers that crashed at the same moment probably crashed by a request each: both had begun to respond to
   one. A part that was answered shortly before is no such cause. */
static bool _cw_crashes_have_own_causes(const _cw_crash_t* crash, const cw_incarnation_event_t* other) {
    return !crash->is_known && crash->phase == CW_RUN_BEGINNING && other->phase == CW_RUN_BEGINNING;
}

/* Whether another server crashed within this time of the crash. */
static bool _cw_crash_is_near(const _cw_crash_t* crash, const cw_incarnation_event_t* other, int64_t within_ms) {
    int64_t distance_ms = other->at_ms > crash->at_ms ? other->at_ms - crash->at_ms : crash->at_ms - other->at_ms;
    return other->incarnation && distance_ms <= within_ms;
}

/* Whether the suspect was on the other server, too, when that crashed. */
static bool _cw_tracked_was_at(_cw_tracked_t* entry, const cw_incarnation_event_t* other) {
    return _cw_tracked_find_crash(entry, other->incarnation, _cw_event_time(other)) != NULL;
}

/* Whether the other server, on which the suspect was not, crashed for a reason that may be that of the crash, too. */
static bool _cw_quarantine_shares_cause(cw_quarantine_t* q, const _cw_suspected_request_t* request,
                                        const _cw_crash_t* crash, const cw_incarnation_event_t* other) {
    return !_cw_crashes_have_own_causes(crash, other) &&
           !_cw_quarantine_rival_crashes(q, request, other->incarnation, _cw_event_time(other), CW_RUN_BEGINNING);
}

/* Another server that crashed at the same moment without the suspect, which thus cannot have caused both crashes; NULL
   when there is none. A crash that another suspect explains is unrelated to it. */
static const cw_incarnation_event_t* _cw_quarantine_find_unrelated_crash(cw_quarantine_t* q,
                                                                         const _cw_suspected_request_t* request,
                                                                         _cw_tracked_t* entry,
                                                                         const _cw_crash_t* crash) {
    for (uint32_t i = 0; i < CW_INCARNATION_EVENTS_MAX; i++) {
        const cw_incarnation_event_t* other = &q->crashed.items[i];
        if (_cw_crash_is_near(crash, other, _CW_QUARANTINE_COINCIDENCE_MS) && !_cw_tracked_was_at(entry, other) &&
            _cw_quarantine_shares_cause(q, request, crash, other)) {
            return other;
        }
    }
    return NULL;
}

/* Whether the crash is one of a series: at least as many servers as crashed with the suspect crashed without it around
   that time, and nothing explains their crashes. */
static bool _cw_quarantine_is_in_series(cw_quarantine_t* q, const _cw_suspected_request_t* request,
                                        _cw_tracked_t* entry, const _cw_crash_t* crash) {
    uint32_t with_suspect = 0;
    uint32_t without_suspect = 0;
    for (uint32_t i = 0; i < CW_INCARNATION_EVENTS_MAX; i++) {
        const cw_incarnation_event_t* other = &q->crashed.items[i];
        if (!_cw_crash_is_near(crash, other, _CW_QUARANTINE_SERIES_MS)) {
            continue;
        }
        bool was_there = _cw_tracked_was_at(entry, other);
        with_suspect += was_there;
        without_suspect += !was_there && _cw_quarantine_shares_cause(q, request, crash, other);
    }
    return without_suspect >= _CW_QUARANTINE_SERIES_CRASHES && without_suspect >= with_suspect;
}

/* Whether another request was in a more suspicious phase when the server crashed. */
static bool _cw_quarantine_has_more_suspicious_phase(cw_quarantine_t* q, const _cw_crash_t* crash) {
    const cw_incarnation_event_t* event = cw_incarnation_events_find(&q->crashed, crash->incarnation);
    return event && event->at_ms < crash->at_ms + _CW_QUARANTINE_DISTINCT_CRASH_MS &&
           cw_run_phase_is_more_suspicious(event->phase, crash->phase);
}

/* Whether a server has written the response to the content for a while, before it crashed or in a trial. */
static bool _cw_tracked_has_survived_start(const _cw_tracked_t* entry) {
    for (uint32_t i = 0; i < entry->count; i++) {
        if (entry->crashes[i].phase == CW_RUN_WRITING) {
            return true;
        }
    }
    return false;
}

/* Weight, in halves, of a trial by its outcome: none unless its server crashed. Claims, the trials of parts, name no
   server. */
static uint32_t _cw_quarantine_trial_weight(cw_quarantine_t* q, const _cw_crash_t* trial) {
    const cw_incarnation_event_t* crashed = cw_incarnation_events_find(&q->crashed, trial->incarnation);
    return crashed && crashed->at_ms >= trial->at_ms ? _CW_QUARANTINE_HALF_WEIGHT : 0;
}

/* Weight of a crash in halves. */
static uint32_t _cw_quarantine_crash_weight(cw_quarantine_t* q, const _cw_suspected_request_t* request,
                                            _cw_tracked_t* entry, const _cw_crash_t* crash) {
    if (crash->is_trial) {
        return _cw_quarantine_trial_weight(q, crash);
    }
    const cw_quarantine_target_t* target = &request->target;
    bool is_elsewhere = target->pool && crash->pool && crash->pool != target->pool;
    if (is_elsewhere && _cw_tracked_cleared_at_ms(entry, target->pool) != INT64_MIN) {
        return 0; /* the request's own pool has responded to it */
    }
    uint32_t own_crashes = _cw_tracked_count_crashes(entry);
    uint32_t rival_crashes =
        _cw_quarantine_rival_crashes(q, request, crash->incarnation, _cw_crash_time(crash), crash->phase);
    if (rival_crashes > own_crashes || (crash->is_known && rival_crashes)) {
        return 0;
    }
    bool is_other_version = target->version && crash->version && crash->version != target->version;
    bool has_other_cause = is_other_version || rival_crashes == own_crashes || _cw_tracked_has_survived_start(entry) ||
                           _cw_quarantine_has_more_suspicious_phase(q, crash) ||
                           _cw_quarantine_find_unrelated_crash(q, request, entry, crash) ||
                           _cw_quarantine_is_in_series(q, request, entry, crash);
    if (crash->is_known) {
        return has_other_cause ? 0 : _CW_QUARANTINE_HALF_WEIGHT;
    }
    return has_other_cause ? _CW_QUARANTINE_HALF_WEIGHT : _CW_QUARANTINE_FULL_WEIGHT;
}

/* The crashes and trials of a suspect as they count against one request. */
typedef struct _cw_evidence_t {
    uint32_t weights[CW_QUARANTINE_MAX_CRASHES]; /* of each crash, in halves */
    uint32_t weight;                             /* their sum */
    uint32_t trial_weight;                       /* of open trials of a content, in halves */
    uint32_t count;                              /* crashes that count */
} _cw_evidence_t;

/* Weight, in halves, by which a trial of a content limits further ones while its outcome is not known. */
static uint32_t _cw_quarantine_open_trial_weight(const _cw_tracked_t* entry, const _cw_crash_t* crash, int64_t now_ms) {
    bool is_open = crash->is_trial && now_ms - crash->at_ms < _CW_QUARANTINE_TRIAL_MS;
    return is_open && !cw_fingerprint_is_part(&entry->suspect) ? _CW_QUARANTINE_HALF_WEIGHT : 0;
}

static _cw_evidence_t _cw_quarantine_weigh(cw_quarantine_t* q, const _cw_suspected_request_t* request,
                                           _cw_tracked_t* entry, int64_t now_ms) {
    _cw_evidence_t evidence = {0};
    _cw_quarantine_update_rivals(q);
    for (uint32_t i = 0; i < entry->count; i++) {
        const _cw_crash_t* crash = &entry->crashes[i];
        evidence.weights[i] = _cw_quarantine_crash_weight(q, request, entry, crash);
        evidence.weight += evidence.weights[i];
        evidence.count += evidence.weights[i] > 0;
        if (!evidence.weights[i]) {
            evidence.trial_weight += _cw_quarantine_open_trial_weight(entry, crash, now_ms);
        }
    }
    return evidence;
}

/* -- verdict -------------------------------------------------------------- */

/* Time until enough crashes have expired for the weight to fall below that of the quarantine. */
static uint32_t _cw_quarantine_remaining_ms(const cw_quarantine_t* q, const _cw_tracked_t* entry,
                                            const _cw_evidence_t* evidence, int64_t now_ms) {
    uint32_t weight = evidence->weight;
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
            weight -= entry->crashes[i].at_ms == from_ms ? evidence->weights[i] : 0;
        }
    }
    return until_ms > now_ms ? (uint32_t)(until_ms - now_ms) : 1;
}

/* Time until the observations that may halve a recent crash have arrived; 0 when the weight suffices for the quarantine
   even with all recent crashes halved. */
static uint32_t _cw_quarantine_pending_ms(const _cw_tracked_t* entry, const _cw_evidence_t* evidence, int64_t now_ms) {
    uint32_t min_weight = evidence->weight;
    int64_t latest_ms = 0;
    for (uint32_t i = 0; i < entry->count; i++) {
        const _cw_crash_t* crash = &entry->crashes[i];
        if (evidence->weights[i] && now_ms - crash->at_ms < _CW_QUARANTINE_COINCIDENCE_MS) {
            min_weight -= evidence->weights[i] - _CW_QUARANTINE_HALF_WEIGHT;
            latest_ms = crash->at_ms > latest_ms ? crash->at_ms : latest_ms;
        }
    }
    return min_weight >= _CW_QUARANTINE_THRESHOLD_WEIGHT
               ? 0
               : (uint32_t)(latest_ms + _CW_QUARANTINE_COINCIDENCE_MS - now_ms);
}

/* Pending or quarantined. */
static void _cw_quarantine_decide_heavy(const cw_quarantine_t* q, const _cw_tracked_t* entry,
                                        const _cw_evidence_t* evidence, int64_t now_ms, cw_verdict_t* v) {
    v->retry_ms = _cw_quarantine_pending_ms(entry, evidence, now_ms);
    v->kind = v->retry_ms ? CW_VERDICT_PENDING : CW_VERDICT_QUARANTINED;
    v->retry_ms = v->retry_ms ? v->retry_ms : _cw_quarantine_remaining_ms(q, entry, evidence, now_ms);
}

static void _cw_quarantine_decide_content(cw_quarantine_t* q, const _cw_suspected_request_t* request,
                                          _cw_tracked_t* entry, int64_t now_ms, cw_verdict_t* v) {
    v->excluded_count = entry->count;
    for (uint32_t i = 0; i < entry->count; i++) {
        v->incarnations[i] = entry->crashes[i].incarnation;
    }
    if (entry->count < _CW_QUARANTINE_ISOLATED_CRASHES) { /* too few for any verdict: spares the weighing */
        return;
    }
    _cw_evidence_t evidence = _cw_quarantine_weigh(q, request, entry, now_ms);
    if (evidence.weight >= _CW_QUARANTINE_THRESHOLD_WEIGHT) {
        _cw_quarantine_decide_heavy(q, entry, &evidence, now_ms, v);
    } else if (evidence.weight + evidence.trial_weight >= _CW_QUARANTINE_THRESHOLD_WEIGHT) {
        v->kind = CW_VERDICT_PENDING;
        v->retry_ms = _CW_QUARANTINE_TRIAL_POLL_MS;
    } else {
        v->kind = evidence.count < _CW_QUARANTINE_ISOLATED_CRASHES ? CW_VERDICT_ALLOWED
                  : evidence.count < _CW_QUARANTINE_TRIAL_CRASHES  ? CW_VERDICT_ISOLATED
                                                                   : CW_VERDICT_TRIAL;
    }
}

/* The claim whose request is on trial: of those that were made before hosts could know of each other's, the lowest.
   0: there is none. */
static uint64_t _cw_quarantine_valid_claim(const _cw_tracked_t* entry, int64_t now_ms) {
    int64_t first_ms = INT64_MAX;
    uint64_t claim = 0;
    for (uint32_t i = 0; i < entry->count; i++) {
        const _cw_crash_t* trial = &entry->crashes[i];
        bool is_open = trial->is_trial && now_ms - trial->at_ms < _CW_QUARANTINE_TRIAL_MS;
        first_ms = is_open && trial->at_ms < first_ms ? trial->at_ms : first_ms;
    }
    for (uint32_t i = 0; i < entry->count; i++) {
        const _cw_crash_t* trial = &entry->crashes[i];
        bool is_rival = trial->is_trial && trial->at_ms >= first_ms && trial->at_ms < first_ms + CW_QUARANTINE_CLAIM_MS;
        claim = is_rival && (!claim || trial->incarnation < claim) ? trial->incarnation : claim;
    }
    return claim;
}

static void _cw_quarantine_decide_part(cw_quarantine_t* q, const _cw_suspected_request_t* request, _cw_tracked_t* entry,
                                       int64_t now_ms, cw_verdict_t* v) {
    if (!v->crashes) {
        return;
    }
    _cw_evidence_t evidence = _cw_quarantine_weigh(q, request, entry, now_ms);
    if (evidence.weight >= _CW_QUARANTINE_THRESHOLD_WEIGHT) {
        _cw_quarantine_decide_heavy(q, entry, &evidence, now_ms, v);
    } else if (evidence.weight >= _CW_QUARANTINE_PART_TRIAL_WEIGHT || evidence.count >= _CW_QUARANTINE_TRIAL_CRASHES) {
        uint64_t claim = _cw_quarantine_valid_claim(entry, now_ms);
        bool is_other_on_trial = claim && claim != request->claim;
        v->kind = is_other_on_trial ? CW_VERDICT_PENDING : CW_VERDICT_TRIAL;
        v->retry_ms = is_other_on_trial ? _CW_QUARANTINE_TRIAL_POLL_MS : 0;
        v->is_claimed = claim && !is_other_on_trial;
    }
}

/* Verdict on the request that is due to one of its suspects. */
static cw_verdict_t _cw_quarantine_decide(cw_quarantine_t* q, const _cw_suspected_request_t* request,
                                          _cw_tracked_t* entry, int64_t now_ms) {
    cw_verdict_t v = {.suspect = entry->suspect, .crashes = _cw_tracked_count_crashes(entry)};
    if (cw_fingerprint_is_part(&entry->suspect)) {
        _cw_quarantine_decide_part(q, request, entry, now_ms, &v);
    } else {
        _cw_quarantine_decide_content(q, request, entry, now_ms, &v);
    }
    return v;
}

/* Verdict on a request that has no other suspect, in any pool. */
static cw_verdict_t _cw_quarantine_decide_alone(cw_quarantine_t* q, _cw_tracked_t* entry, int64_t now_ms) {
    _cw_suspected_request_t request = {.entries = {entry}, .count = 1};
    return _cw_quarantine_decide(q, &request, entry, now_ms);
}

cw_verdict_t cw_quarantine_evaluate(cw_quarantine_t* q, int64_t now_ms, const cw_suspects_t* suspects,
                                    const cw_quarantine_target_t* target) {
    _cw_suspected_request_t request = {.target = *target, .claim = suspects->claim};
    uint32_t indexes[CW_SUSPECTS_MAX];
    for (uint32_t i = 0; i < suspects->count; i++) {
        _cw_tracked_t* entry = _cw_quarantine_find(q, &suspects->items[i]);
        if (entry) {
            _cw_quarantine_prune(q, entry, now_ms);
        }
        if (entry && entry->count) {
            indexes[request.count] = i;
            request.entries[request.count++] = entry;
        }
    }
    cw_verdict_t worst = {0};
    for (uint32_t i = 0; i < request.count; i++) {
        cw_verdict_t v = _cw_quarantine_decide(q, &request, request.entries[i], now_ms);
        bool is_part_on_trial = v.kind == CW_VERDICT_TRIAL && cw_fingerprint_is_part(&v.suspect);
        uint32_t claims = worst.claims | (is_part_on_trial ? 1U << indexes[i] : 0);
        bool is_claimed = is_part_on_trial ? v.is_claimed && (!worst.claims || worst.is_claimed) : worst.is_claimed;
        if (indexes[i] == 0) { /* the content: only its verdict isolates the request and excludes incarnations */
            v.is_isolated = v.kind != CW_VERDICT_ALLOWED;
            v.is_content_on_trial = v.kind == CW_VERDICT_TRIAL;
            worst = v;
        } else if (v.kind > worst.kind) {
            worst.kind = v.kind;
            worst.suspect = v.suspect;
            worst.crashes = v.crashes;
            worst.retry_ms = v.retry_ms;
        }
        worst.claims = claims;
        worst.is_claimed = is_claimed;
    }
    return worst;
}

bool cw_quarantine_has_crashes(const cw_quarantine_t* q, const cw_fingerprint_t* suspect) {
    const _cw_tracked_t* entry = _cw_quarantine_find(q, suspect);
    return entry && entry->count;
}

/* -- observations --------------------------------------------------------- */

/* Records a clearance, also for a suspect without a crash: the observation of an earlier crash may arrive late. Other
   hosts need it if it drops crashes, or if crashes of other pools no longer count in this one. */
static bool _cw_quarantine_add_clearance(cw_quarantine_t* q, const cw_quarantine_observation_t* observation,
                                         int64_t at_ms, int64_t now_ms) {
    _cw_tracked_t* entry = _cw_quarantine_find_or_add(q, &observation->suspect);
    int64_t known_at_ms = _cw_tracked_cleared_at_ms(entry, observation->pool);
    if (at_ms <= known_at_ms) {
        return false;
    }
    _cw_tracked_put_clearance(entry, observation->pool, at_ms);
    entry->updated_at_ms = now_ms;
    uint32_t before = entry->count;
    _cw_quarantine_prune(q, entry, now_ms);
    return entry->count != before || (entry->count && known_at_ms == INT64_MIN);
}

/* The crash or trial that is given up for another one: the one with the least weight. NULL: each has its full weight.
 */
static _cw_crash_t* _cw_quarantine_least_telling_crash(cw_quarantine_t* q, _cw_tracked_t* entry, int64_t now_ms) {
    _cw_suspected_request_t alone = {.entries = {entry}, .count = 1};
    _cw_evidence_t evidence = _cw_quarantine_weigh(q, &alone, entry, now_ms);
    uint32_t least = 0;
    for (uint32_t i = 1; i < entry->count; i++) {
        least = evidence.weights[i] < evidence.weights[least] ? i : least;
    }
    return evidence.weights[least] < _CW_QUARANTINE_FULL_WEIGHT ? &entry->crashes[least] : NULL;
}

/* The entry of an observed crash or trial; a pruned entry that had no crashes left is added again. */
static _cw_tracked_t* _cw_quarantine_entry_for_crash(cw_quarantine_t* q, const cw_fingerprint_t* suspect,
                                                     int64_t now_ms) {
    _cw_tracked_t* entry = _cw_quarantine_find_or_add(q, suspect);
    _cw_quarantine_prune(q, entry, now_ms);
    return entry->is_used ? entry : _cw_quarantine_find_or_add(q, suspect);
}

/* Whether this host saw the observed part answered. The host that observed the crash may have started just before it.
 */
static bool _cw_quarantine_knows_part(const cw_quarantine_t* q, const cw_quarantine_observation_t* observation,
                                      int64_t now_ms) {
    return cw_fingerprint_is_part(&observation->suspect) &&
           cw_known_parts_has(&q->known_parts, now_ms, &observation->suspect, observation->pool);
}

static bool _cw_quarantine_add_crash(cw_quarantine_t* q, const cw_quarantine_observation_t* observation, int64_t at_ms,
                                     int64_t now_ms) {
    bool is_trial = observation->kind == CW_OBSERVED_TRIAL;
    _cw_crash_time_t time = {.at_ms = at_ms, .delay_ms = observation->delay_ms};
    if (now_ms - at_ms >= (int64_t)q->desc.retention_ms ||
        (!is_trial && _cw_quarantine_was_alive_after(q, observation->incarnation, at_ms + observation->delay_ms))) {
        return false;
    }
    bool is_distinct = !is_trial && _cw_quarantine_record_crash(q, observation->incarnation, time, observation->phase);
    if (!observation->suspect.content_hash) {
        return is_distinct;
    }
    _cw_tracked_t* entry = _cw_quarantine_entry_for_crash(q, &observation->suspect, now_ms);
    _cw_crash_t* known = _cw_tracked_find_crash(entry, observation->incarnation, time);
    bool is_known_part = observation->is_known || _cw_quarantine_knows_part(q, observation, now_ms);
    if (known && !is_trial) {
        bool is_more_suspicious = cw_run_phase_is_more_suspicious(observation->phase, known->phase);
        bool is_change = is_more_suspicious || (is_known_part && !known->is_known);
        known->phase = is_more_suspicious ? observation->phase : known->phase;
        known->is_known = known->is_known || is_known_part;
        if (time.delay_ms < known->delay_ms) {
            known->at_ms = time.at_ms;
            known->delay_ms = time.delay_ms;
        }
        return is_change;
    }
    _cw_crash_t* target = _cw_tracked_find_trial(entry, observation->incarnation);
    if (at_ms <= _cw_tracked_cleared_at_ms(entry, observation->pool) || known) {
        return false;
    }
    if (is_trial && target) {
        bool is_news = observation->phase == CW_RUN_WRITING && target->phase != CW_RUN_WRITING;
        target->phase = is_news ? CW_RUN_WRITING : target->phase;
        return is_news;
    }
    if (!target) { /* otherwise the crash replaces the trial on the same server */
        target = entry->count < CW_QUARANTINE_MAX_CRASHES ? &entry->crashes[entry->count++]
                                                          : _cw_quarantine_least_telling_crash(q, entry, now_ms);
    }
    if (!target) {
        return false;
    }
    *target = (_cw_crash_t){.incarnation = observation->incarnation,
                            .at_ms = at_ms,
                            .delay_ms = observation->delay_ms,
                            .pool = observation->pool,
                            .version = observation->version,
                            .phase = observation->phase,
                            .is_known = is_known_part,
                            .is_trial = is_trial};
    entry->updated_at_ms = now_ms;
    return true;
}

/* Records a sign of life; returns false when one as late or later is already recorded. */
static bool _cw_quarantine_add_sign_of_life(cw_quarantine_t* q, uint64_t incarnation, int64_t at_ms, int64_t now_ms) {
    const cw_incarnation_event_t* known = cw_incarnation_events_find(&q->alive, incarnation);
    if (known && at_ms <= known->at_ms) {
        return false;
    }
    cw_incarnation_events_put(&q->alive, &(cw_incarnation_event_t){.incarnation = incarnation, .at_ms = at_ms});
    for (uint32_t i = 0; i < q->used_count; i++) {
        if (q->entries[i].is_used) {
            _cw_quarantine_prune(q, &q->entries[i], now_ms);
        }
    }
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
            is_new = observation->suspect.content_hash && _cw_quarantine_add_clearance(q, observation, at_ms, now_ms);
            break;
        case CW_OBSERVED_ALIVE:
            is_new =
                observation->incarnation && _cw_quarantine_add_sign_of_life(q, observation->incarnation, at_ms, now_ms);
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

/* -- export --------------------------------------------------------------- */

static cw_quarantine_entry_t _cw_quarantine_describe(const _cw_tracked_t* entry, const cw_verdict_t* verdict,
                                                     int64_t now_ms) {
    cw_quarantine_entry_t out = {.suspect = entry->suspect, .verdict = *verdict, .count = entry->count};
    for (uint32_t i = 0; i < entry->count; i++) {
        out.incarnations[i] = entry->crashes[i].incarnation;
        out.age_ms[i] = _cw_quarantine_age_ms(entry->crashes[i].at_ms, now_ms);
        out.is_trial[i] = entry->crashes[i].is_trial;
    }
    return out;
}

/* Next entry from index *at on whose verdict is not CW_VERDICT_ALLOWED. */
static _cw_tracked_t* _cw_quarantine_next_restricted(cw_quarantine_t* q, int64_t now_ms, uint32_t* at,
                                                     cw_verdict_t* verdict) {
    while (*at < q->used_count) {
        _cw_tracked_t* entry = &q->entries[(*at)++];
        if (entry->is_used) {
            _cw_quarantine_prune(q, entry, now_ms);
        }
        *verdict = entry->is_used ? _cw_quarantine_decide_alone(q, entry, now_ms) : (cw_verdict_t){0};
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
        _cw_tracked_t* entry = _cw_quarantine_next_restricted(q, now_ms, at, &verdict);
        if (!entry) {
            *at = 0;
            break;
        }
        _cw_suspected_request_t alone = {.entries = {entry}, .count = 1};
        for (uint32_t i = 0; i < entry->count; i++) {
            const _cw_crash_t* crash = &entry->crashes[i];
            out[count++] =
                (cw_quarantine_observation_t){.kind = crash->is_trial ? CW_OBSERVED_TRIAL : CW_OBSERVED_CRASH,
                                              .suspect = entry->suspect,
                                              .incarnation = crash->incarnation,
                                              .pool = crash->pool,
                                              .version = crash->version,
                                              .phase = crash->phase,
                                              .is_known = crash->is_known,
                                              .age_ms = _cw_quarantine_age_ms(crash->at_ms, now_ms)};
            const cw_incarnation_event_t* unrelated = _cw_quarantine_find_unrelated_crash(q, &alone, entry, crash);
            if (unrelated) {
                out[count++] = (cw_quarantine_observation_t){.kind = CW_OBSERVED_CRASH,
                                                             .incarnation = unrelated->incarnation,
                                                             .phase = unrelated->phase,
                                                             .age_ms = _cw_quarantine_age_ms(unrelated->at_ms, now_ms)};
            }
        }
    }
    return count;
}

bool cw_quarantine_next_entry(cw_quarantine_t* q, int64_t now_ms, uint32_t* at, cw_quarantine_entry_t* out) {
    cw_verdict_t verdict;
    const _cw_tracked_t* entry = _cw_quarantine_next_restricted(q, now_ms, at, &verdict);
    if (!entry) {
        return false;
    }
    *out = _cw_quarantine_describe(entry, &verdict, now_ms);
    return true;
}

bool cw_quarantine_next_newly_quarantined(cw_quarantine_t* q, int64_t now_ms, cw_quarantine_entry_t* out) {
    for (uint32_t i = 0; i < q->used_count && now_ms < q->scan_until_ms; i++) {
        _cw_tracked_t* entry = &q->entries[i];
        if (!entry->is_used || entry->is_announced || entry->count < _CW_QUARANTINE_TRIAL_CRASHES) {
            continue;
        }
        cw_verdict_t verdict = _cw_quarantine_decide_alone(q, entry, now_ms);
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
        _cw_tracked_t* entry = &q->entries[i];
        if (entry->is_used) {
            _cw_quarantine_prune(q, entry, now_ms);
        }
        bool is_quarantined = entry->is_used && entry->is_announced;
        stats.entries += entry->is_used && entry->count;
        stats.quarantined += is_quarantined;
        stats.quarantined_parts += is_quarantined && cw_fingerprint_is_part(&entry->suspect);
    }
    return stats;
}

#endif /* CHALKWAY_QUARANTINE_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
