#include "streams.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "streams_internal.h"

#define CAPACITY_DEFAULT 16384
#define LONGEST_DEFAULT_MS 30000
/* A version is remembered for this multiple of the longest stream: hosts learn at different times that it has gone. */
#define MEMORY_FACTOR 2
/* After the deadline has cut off a stream, in which its caller may resume it. */
#define RESUMPTION_MS 2000
#define PARTS_MAX 16384   /* parts that engines have listed, remembered for as long as streams last */
#define ANNOUNCE_BATCH 64 /* own streams read at once when they are announced */

streams_t* streams_setup(const streams_desc_t* desc) {
    streams_t* s = calloc(1, sizeof(*s));
    if (!s) {
        abort();
    }
    s->desc = *desc;
    s->registry = cw_stream_registry_setup(desc->capacity ? desc->capacity : CAPACITY_DEFAULT, NULL);
    s->parts = cw_part_versions_setup(PARTS_MAX, NULL);
    s->memory_ms = MEMORY_FACTOR * LONGEST_DEFAULT_MS;
    s->known_min_ms = LONGEST_DEFAULT_MS + LIST_LATENESS_MS;
    s->peak_hosts = 1;
    int64_t now_ms = clock_ms();
    cw_spans_add(&s->unknown, CW_SPANS_FOREVER_MS, now_ms);
    cw_handover_begin(&s->handover,
                      &(cw_handover_desc_t){.now_ms = now_ms, .enough_ms = s->known_min_ms, .seed = desc->seed});
    return s;
}

void streams_shutdown(streams_t* s) {
    cw_stream_registry_shutdown(s->registry);
    cw_part_versions_shutdown(s->parts);
    free(s);
}

void streams_set_peak_hosts(streams_t* s, uint32_t hosts) {
    s->peak_hosts = hosts;
}

void streams_set_longest_ms(streams_t* s, uint32_t ms) {
    uint32_t longest_ms = ms ? ms : LONGEST_DEFAULT_MS;
    s->memory_ms = MEMORY_FACTOR * longest_ms;
    s->known_min_ms = longest_ms + LIST_LATENESS_MS;
    s->handover.desc.enough_ms = s->known_min_ms;
}

uint64_t streams_id(uint64_t workspace, const char* request_id) {
    return request_id[0] ? cw_mix(workspace, cw_name_id(request_id)) : 0;
}

/* -- which versions serve ------------------------------------------------- */

pool_t* streams_find_pool(const streams_t* s, uint64_t id) {
    pool_t* pool = upstreams_pools(s->desc.upstreams);
    while (pool && pool->id != id) {
        pool = pool->next;
    }
    return pool;
}

static void learn_in_pool(pool_t* pool, int64_t now_ms, const pending_version_t* v) {
    int64_t ago_ms = now_ms - v->listed_ms;
    cw_pool_versions_learn(&pool->versions, now_ms, v->version, ago_ms > 0 ? (uint32_t)ago_ms : 0);
    if (v->has_departed) {
        cw_pool_versions_on_departure(&pool->versions, now_ms, v->version);
    }
}

/* Applies what others know of pools that have been declared since. */
static void apply_pending(streams_t* s, int64_t now_ms) {
    uint32_t kept = 0;
    for (uint32_t i = 0; i < s->pending_count; i++) {
        const pending_version_t v = s->pending[i];
        pool_t* pool = streams_find_pool(s, v.pool);
        if (pool) {
            learn_in_pool(pool, now_ms, &v);
        } else if (now_ms - v.listed_ms < s->memory_ms) {
            s->pending[kept++] = v;
        }
    }
    s->pending_count = kept;
}

void streams_learn_version(streams_t* s, int64_t now_ms, const pending_version_t* v) {
    pool_t* pool = streams_find_pool(s, v->pool);
    if (!v->version) {
        return;
    }
    if (pool) {
        learn_in_pool(pool, now_ms, v);
    } else if (s->pending_count < PENDING_VERSIONS_MAX) {
        s->pending[s->pending_count++] = *v;
    } else {
        s->unknown = (cw_spans_t){0};
        cw_spans_add(&s->unknown, CW_SPANS_FOREVER_MS, now_ms);
        s->is_history_complete = s->is_history_retained = false;
    }
}

bool streams_is_list_fresh(const streams_t* s) {
    int64_t age_ms = s->desc.list_age_ms(s->desc.user_data);
    return age_ms >= 0 && age_ms <= CW_POOL_VERSIONS_FRESH_MS;
}

/* Versions may have come and gone unseen: what this host knows ends here, until others tell what it has missed. */
static void end_gap(streams_t* s, int64_t now_ms, int64_t confirmed_ms) {
    s->stats.list_gaps++;
    cw_log(s->desc.log, CW_EVENT_LIST_GAP, "gap_ms=%lld ago_ms=%lld", (long long)(confirmed_ms - s->stale_from_ms),
           (long long)(now_ms - confirmed_ms));
    cw_spans_add(&s->unknown, s->stale_from_ms, confirmed_ms);
    s->heard_from_ms = now_ms;
    s->stale_from_ms = 0;
    s->is_history_complete = false;
    s->is_history_retained = false;
    s->sources_from_ms = CW_SPANS_FOREVER_MS;
    cw_handover_begin(&s->handover, &(cw_handover_desc_t){.now_ms = now_ms,
                                                          .enough_ms = s->known_min_ms,
                                                          .sources = CW_HANDOVER_SOURCES_MAX,
                                                          .is_uniform = true,
                                                          .seed = cw_mix(s->desc.seed, s->stats.list_gaps)});
}

void streams_check_list(streams_t* s, int64_t now_ms) {
    if (s->pending_count) {
        apply_pending(s, now_ms);
    }
    int64_t age_ms = s->desc.list_age_ms(s->desc.user_data);
    int64_t confirmed_ms = now_ms - age_ms;
    bool was_away = confirmed_ms - s->confirmed_ms > CW_POOL_VERSIONS_FRESH_MS; /* though it wasn't seen to be old */
    if (s->first_list_ms && !s->stale_from_ms && (was_away || age_ms > CW_POOL_VERSIONS_FRESH_MS)) {
        s->stale_from_ms = was_away ? s->confirmed_ms : confirmed_ms;
    }
    s->confirmed_ms = confirmed_ms;
    if (!s->first_list_ms) {
        cw_spans_add(&s->unknown, CW_SPANS_FOREVER_MS, now_ms);
        s->first_list_ms = age_ms >= 0 ? now_ms : 0;
        s->heard_from_ms = now_ms;
    } else if (s->stale_from_ms && age_ms <= CW_POOL_VERSIONS_FRESH_MS) { /* a late list ends no gap */
        end_gap(s, now_ms, confirmed_ms);
    }
}

int64_t streams_known_ms(const streams_t* s, int64_t now_ms) {
    return now_ms - cw_spans_end_ms(&s->unknown);
}

bool streams_has_long_memory(const streams_t* s, int64_t now_ms) {
    return streams_known_ms(s, now_ms) >= s->known_min_ms;
}

bool streams_has_heard_all(streams_t* s, int64_t now_ms) {
    uint64_t evicted = cw_stream_registry_evicted(s->registry);
    s->evicted_ms = evicted != s->evicted ? now_ms : s->evicted_ms;
    s->evicted = evicted;
    bool has_room = !s->evicted_ms || now_ms - s->evicted_ms >= s->memory_ms;
    return has_room && now_ms - s->heard_from_ms >= s->known_min_ms;
}

bool streams_has_full_memory(const streams_t* s, int64_t now_ms) {
    return s->is_history_complete || streams_has_long_memory(s, now_ms);
}

/* The only version at which a stream that is still alive can have begun; 0: several, or this host can't know. */
static uint64_t only_version(const streams_t* s, const pool_t* pool, int64_t now_ms) {
    bool is_certain = streams_has_full_memory(s, now_ms) && streams_is_list_fresh(s);
    return is_certain ? cw_pool_versions_only(&pool->versions, now_ms, s->memory_ms) : 0;
}

/* Whether other hosts may need the versions of this pool's streams. */
static bool must_announce(const streams_t* s, const pool_t* pool, int64_t now_ms) {
    return cw_pool_versions_recent(&pool->versions, now_ms, s->memory_ms) > 1 || !streams_is_list_fresh(s);
}

/* -- streams of this host ------------------------------------------------- */

static void announce(streams_t* s, const cw_stream_record_t* records, uint32_t count) {
    if (s->desc.announce && count) {
        s->stats.announced += count;
        s->desc.announce(s->desc.user_data, records, count);
    }
}

void streams_on_first_event(streams_t* s, const pool_t* pool, uint64_t stream, uint64_t version, int64_t deadline_ms) {
    int64_t now_ms = clock_ms();
    cw_stream_record_t record = {.stream = stream,
                                 .pool = pool->id,
                                 .version = version,
                                 .expires_ms = deadline_ms + RESUMPTION_MS,
                                 .is_own = true};
    if (!cw_stream_registry_put(s->registry, now_ms, &record)) {
        return;
    }
    if (must_announce(s, pool, now_ms)) {
        announce(s, &record, 1);
    } else if (s->desc.deposit) {
        s->desc.deposit(s->desc.user_data, &record);
    }
}

static void announce_all(streams_t* s, uint64_t pool, int64_t now_ms) {
    cw_stream_record_t records[ANNOUNCE_BATCH];
    uint32_t at = 0;
    do {
        uint32_t count = cw_stream_registry_list_own(s->registry, now_ms, pool, &at, records, ANNOUNCE_BATCH);
        announce(s, records, count);
    } while (at);
}

static bool was_announcing(const streams_t* s, uint64_t pool) {
    for (uint32_t i = 0; i < s->announcing_count; i++) {
        if (s->announcing[i] == pool) {
            return true;
        }
    }
    return false;
}

/* Streams that began before announcements were needed are announced when that state begins. */
void streams_tick(streams_t* s, int64_t now_ms) {
    streams_check_list(s, now_ms);
    uint64_t announcing[POOLS_ANNOUNCING_MAX];
    uint32_t count = 0;
    for (const pool_t* pool = upstreams_pools(s->desc.upstreams); pool && count < POOLS_ANNOUNCING_MAX;
         pool = pool->next) {
        if (must_announce(s, pool, now_ms)) {
            announcing[count++] = pool->id;
            if (!was_announcing(s, pool->id)) {
                announce_all(s, pool->id, now_ms);
            }
        }
    }
    memcpy(s->announcing, announcing, count * sizeof(*announcing));
    s->announcing_count = count;
}

/* -- streams that callers resume ------------------------------------------- */

const char* streams_source_name(stream_source_t source) {
    static const char* const names[STREAM_SOURCE_COUNT] = {"unknown", "recorded", "only-version", "engines"};
    return names[source];
}

/* Logs and counts how the version of a stream was found, and returns it. */
static uint64_t report(streams_t* s, const stream_request_t* request, uint64_t version, stream_source_t source) {
    int64_t now_ms = clock_ms();
    s->stats.resumed[source]++;
    cw_log(s->desc.log, CW_EVENT_STREAM_VERSION,
           "id=%s resumes=%s stream=%016llx pool=%s version_key=%016llx source=%s versions=%u list_age_ms=%lld "
           "known_ms=%lld "
           "part=%llx part_tokens=%u",
           request->id, request->resumes[0] ? request->resumes : "-", (unsigned long long)request->stream,
           request->pool->name, (unsigned long long)version, streams_source_name(source),
           cw_pool_versions_recent(&request->pool->versions, now_ms, s->memory_ms),
           (long long)s->desc.list_age_ms(s->desc.user_data), (long long)streams_known_ms(s, now_ms),
           (unsigned long long)request->part, request->part_tokens);
    return version;
}

uint64_t streams_resolve(streams_t* s, const stream_request_t* request) {
    int64_t now_ms = clock_ms();
    streams_check_list(s, now_ms);
    const cw_stream_record_t* record = cw_stream_registry_find(s->registry, now_ms, request->stream);
    if (record) {
        return report(s, request, record->version, STREAM_RECORDED);
    }
    uint64_t only = only_version(s, request->pool, now_ms);
    return only ? report(s, request, only, STREAM_ONLY_VERSION) : 0;
}

uint32_t streams_query(streams_t* s, const stream_request_t* request) {
    if (!request->stream || !s->desc.query) {
        return 0;
    }
    s->stats.queried++;
    return s->desc.query(s->desc.user_data, request->stream, request->pool->id);
}

uint64_t streams_resolve_unanswered(streams_t* s, const stream_request_t* request, const cw_stream_inquiry_t* inquiry) {
    uint64_t version = streams_resolve(s, request);
    uint64_t found = cw_stream_inquiry_version(inquiry);
    if (!version) {
        streams_log_inquiry(s, request, inquiry);
    }
    return version ? version : report(s, request, found, found ? STREAM_ENGINES : STREAM_UNKNOWN);
}

/* -- other hosts ---------------------------------------------------------- */

void streams_on_announced(streams_t* s, const cw_stream_record_t* record) {
    int64_t now_ms = clock_ms();
    s->stats.received++;
    if (record->version && record->expires_ms > now_ms && cw_stream_registry_put(s->registry, now_ms, record)) {
        s->desc.on_resolved(s->desc.user_data, record->stream);
    }
}

static void log_vouched(const streams_t* s, const cw_stream_record_t* record, const char* source) {
    int64_t now_ms = clock_ms();
    cw_log(s->desc.log, CW_EVENT_STREAM_VOUCHED,
           "stream=%016llx version_key=%016llx source=%s list_age_ms=%lld known_ms=%lld",
           (unsigned long long)record->stream, (unsigned long long)record->version, source,
           (long long)s->desc.list_age_ms(s->desc.user_data), (long long)streams_known_ms(s, now_ms));
}

bool streams_on_query(streams_t* s, uint64_t stream, uint64_t pool_id, cw_stream_record_t* record) {
    int64_t now_ms = clock_ms();
    streams_check_list(s, now_ms);
    const cw_stream_record_t* known = cw_stream_registry_find(s->registry, now_ms, stream);
    const pool_t* pool = streams_find_pool(s, pool_id);
    if (known) {
        *record = *known;
        log_vouched(s, record, streams_source_name(STREAM_RECORDED));
        return true;
    }
    *record = (cw_stream_record_t){.stream = stream, .pool = pool_id, .expires_ms = now_ms + s->memory_ms};
    record->version = pool ? only_version(s, pool, now_ms) : 0;
    if (!pool || (!record->version && cw_pool_versions_recent(&pool->versions, now_ms, s->memory_ms) <= 1)) {
        return false;
    }
    log_vouched(s, record, record->version ? streams_source_name(STREAM_ONLY_VERSION) : "several");
    return true;
}

streams_stats_t streams_stats(const streams_t* s) {
    streams_stats_t stats = s->stats;
    stats.known = cw_stream_registry_count(s->registry);
    stats.evicted = cw_stream_registry_evicted(s->registry);
    stats.is_settled = cw_handover_is_settled(&s->handover);
    return stats;
}
