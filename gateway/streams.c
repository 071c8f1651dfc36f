#include "streams.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"

#define CAPACITY_DEFAULT 16384
#define LONGEST_DEFAULT_MS 30000
/* A version is remembered for this multiple of the longest stream: hosts learn at different times that it has gone. */
#define MEMORY_FACTOR 2
#define DENIALS_MAX 64    /* streams that other hosts did not know, remembered while their callers wait */
#define ANNOUNCE_BATCH 64 /* own streams read at once when they are announced */
#define POOLS_ANNOUNCING_MAX 64

typedef struct denial_t {
    uint64_t stream;
    int64_t at_ms;
} denial_t;

struct streams_t {
    streams_desc_t desc;
    cw_stream_registry_t* registry;
    uint32_t memory_ms;
    int64_t setup_ms;
    cw_handover_t handover;
    int64_t inherited_ms;          /* all versions from then on were taken over from other hosts; 0: none */
    denial_t denials[DENIALS_MAX]; /* ring */
    uint32_t next_denial;
    uint64_t announcing[POOLS_ANNOUNCING_MAX]; /* ids of the pools whose streams are announced */
    uint32_t announcing_count;
    streams_stats_t stats;
};

streams_t* streams_setup(const streams_desc_t* desc) {
    streams_t* s = calloc(1, sizeof(*s));
    if (!s) {
        abort();
    }
    s->desc = *desc;
    s->registry = cw_stream_registry_setup(desc->capacity ? desc->capacity : CAPACITY_DEFAULT, NULL);
    s->memory_ms = MEMORY_FACTOR * LONGEST_DEFAULT_MS;
    s->setup_ms = clock_ms();
    cw_handover_begin(&s->handover,
                      &(cw_handover_desc_t){.now_ms = s->setup_ms, .enough_ms = s->memory_ms, .seed = desc->seed});
    return s;
}

void streams_shutdown(streams_t* s) {
    cw_stream_registry_shutdown(s->registry);
    free(s);
}

void streams_set_longest_ms(streams_t* s, uint32_t ms) {
    s->memory_ms = MEMORY_FACTOR * (ms ? ms : LONGEST_DEFAULT_MS);
    s->handover.desc.enough_ms = s->memory_ms;
}

uint64_t streams_id(uint64_t workspace, const char* request_id) {
    return request_id[0] ? cw_mix(workspace, cw_name_id(request_id)) : 0;
}

/* -- which versions serve ------------------------------------------------- */

static bool is_list_fresh(const streams_t* s) {
    int64_t age_ms = s->desc.list_age_ms(s->desc.user_data);
    return age_ms >= 0 && age_ms <= CW_POOL_VERSIONS_FRESH_MS;
}

/* For how long this host knows the versions that have served. */
static int64_t known_ms(const streams_t* s, int64_t now_ms) {
    return now_ms - (s->inherited_ms ? s->inherited_ms : s->setup_ms);
}

/* Whether this host knows each version that a live stream can have. */
static bool has_full_memory(const streams_t* s, int64_t now_ms) {
    return known_ms(s, now_ms) >= s->memory_ms;
}

/* The only version at which a stream that is still alive can have begun; 0: several, or this host can't know. */
static uint64_t only_version(const streams_t* s, const pool_t* pool, int64_t now_ms) {
    bool is_certain = has_full_memory(s, now_ms) && is_list_fresh(s);
    return is_certain ? cw_pool_versions_only(&pool->versions, now_ms, s->memory_ms) : 0;
}

/* Whether other hosts may need the versions of this pool's streams. */
static bool must_announce(const streams_t* s, const pool_t* pool, int64_t now_ms) {
    return cw_pool_versions_recent(&pool->versions, now_ms, s->memory_ms) > 1 || !is_list_fresh(s);
}

/* -- streams of this host ------------------------------------------------- */

static void announce(streams_t* s, const cw_stream_record_t* records, uint32_t count) {
    if (s->desc.announce && count) {
        s->stats.announced += count;
        s->desc.announce(s->desc.user_data, records, count);
    }
}

void streams_on_first_event(streams_t* s, const pool_t* pool, uint64_t stream, uint64_t version, int64_t expires_ms) {
    int64_t now_ms = clock_ms();
    cw_stream_record_t record = {
        .stream = stream, .pool = pool->id, .version = version, .expires_ms = expires_ms, .is_own = true};
    if (cw_stream_registry_put(s->registry, now_ms, &record) && must_announce(s, pool, now_ms)) {
        announce(s, &record, 1);
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
    static const char* const names[STREAM_SOURCE_COUNT] = {"unknown", "recorded", "only-version", "last-resort"};
    return names[source];
}

/* Logs and counts how the version of a stream was found, and returns it. */
static uint64_t report(streams_t* s, const stream_request_t* request, uint64_t version, stream_source_t source) {
    int64_t now_ms = clock_ms();
    s->stats.resumed[source]++;
    cw_log(s->desc.log, CW_EVENT_STREAM_VERSION,
           "id=%s resumes=%s pool=%s version_key=%016llx source=%s versions=%u list_age_ms=%lld known_ms=%lld",
           request->id, request->resumes[0] ? request->resumes : "-", request->pool->name, (unsigned long long)version,
           streams_source_name(source), cw_pool_versions_recent(&request->pool->versions, now_ms, s->memory_ms),
           (long long)s->desc.list_age_ms(s->desc.user_data), (long long)known_ms(s, now_ms));
    return version;
}

uint64_t streams_resolve(streams_t* s, const stream_request_t* request) {
    int64_t now_ms = clock_ms();
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

/* Whether another host has said lately that it doesn't know the stream while several versions have served. */
static bool was_denied(const streams_t* s, uint64_t stream, int64_t now_ms) {
    for (uint32_t i = 0; i < DENIALS_MAX; i++) {
        if (s->denials[i].stream == stream && now_ms - s->denials[i].at_ms < s->memory_ms) {
            return true;
        }
    }
    return false;
}

uint64_t streams_resolve_unanswered(streams_t* s, const stream_request_t* request) {
    int64_t now_ms = clock_ms();
    uint64_t version = streams_resolve(s, request);
    bool is_last_resort = !version && cw_handover_is_settled(&s->handover) && !has_full_memory(s, now_ms) &&
                          is_list_fresh(s) && !(request->stream && was_denied(s, request->stream, now_ms));
    uint64_t only = is_last_resort ? cw_pool_versions_only(&request->pool->versions, now_ms, s->memory_ms) : 0;
    return version ? version : report(s, request, only, only ? STREAM_LAST_RESORT : STREAM_UNKNOWN);
}

/* -- other hosts ---------------------------------------------------------- */

void streams_on_announced(streams_t* s, const cw_stream_record_t* record) {
    int64_t now_ms = clock_ms();
    s->stats.received++;
    if (!record->version) {
        s->denials[s->next_denial++ % DENIALS_MAX] = (denial_t){.stream = record->stream, .at_ms = now_ms};
    } else if (record->expires_ms > now_ms && cw_stream_registry_put(s->registry, now_ms, record)) {
        s->desc.on_resolved(s->desc.user_data, record->stream);
    }
}

static const pool_t* find_pool(const streams_t* s, uint64_t id) {
    const pool_t* pool = upstreams_pools(s->desc.upstreams);
    while (pool && pool->id != id) {
        pool = pool->next;
    }
    return pool;
}

bool streams_on_query(streams_t* s, uint64_t stream, uint64_t pool_id, cw_stream_record_t* record) {
    int64_t now_ms = clock_ms();
    const cw_stream_record_t* known = cw_stream_registry_find(s->registry, now_ms, stream);
    const pool_t* pool = find_pool(s, pool_id);
    if (known) {
        *record = *known;
        return true;
    }
    *record = (cw_stream_record_t){.stream = stream, .pool = pool_id, .expires_ms = now_ms + s->memory_ms};
    record->version = pool ? only_version(s, pool, now_ms) : 0;
    return pool && (record->version || cw_pool_versions_recent(&pool->versions, now_ms, s->memory_ms) > 1);
}

/* -- handover -------------------------------------------------------------- */

/* Cursors of a page: versions come first, numbered over all pools; then streams, by the number of their arrival. */
#define STREAMS_CURSOR (1ULL << 32U)

static uint32_t clamp_ms(int64_t ms) {
    return ms < 0 ? 0 : ms < UINT32_MAX ? (uint32_t)ms : UINT32_MAX;
}

static void add_entry(cw_stream_message_t* message, uint64_t stream, uint64_t pool, uint64_t version, int64_t ms) {
    message->entries[message->count++] =
        (cw_stream_entry_t){.stream = stream, .pool = pool, .version = version, .left_ms = clamp_ms(ms)};
}

/* Writes versions that are still remembered. Returns the next cursor: STREAMS_CURSOR after the last version. */
static uint64_t write_versions(const streams_t* s, int64_t now_ms, uint64_t cursor, cw_stream_message_t* message) {
    uint64_t number = 0;
    for (const pool_t* pool = upstreams_pools(s->desc.upstreams); pool; pool = pool->next) {
        for (uint32_t i = 0; i < CW_POOL_VERSIONS_MAX; i++, number++) {
            const cw_pool_version_t* item = &pool->versions.items[i];
            int64_t ago_ms = i < pool->versions.count && !item->servers ? now_ms - item->unlisted_ms : 0;
            if (number < cursor || i >= pool->versions.count || ago_ms >= s->memory_ms) {
                continue;
            }
            if (message->count == CW_STREAM_ENTRIES) {
                return number;
            }
            add_entry(message, 0, pool->id, item->id, ago_ms);
        }
    }
    return STREAMS_CURSOR;
}

/* Writes streams. Returns the next cursor. */
static uint64_t write_streams(const streams_t* s, int64_t now_ms, uint64_t cursor, cw_stream_message_t* message) {
    cw_stream_record_t records[CW_STREAM_ENTRIES];
    uint64_t at = cursor - STREAMS_CURSOR;
    uint32_t count = cw_stream_registry_list(s->registry, now_ms, &at, records, CW_STREAM_ENTRIES - message->count);
    for (uint32_t i = 0; i < count; i++) {
        add_entry(message, records[i].stream, records[i].pool, records[i].version, records[i].expires_ms - now_ms);
    }
    return STREAMS_CURSOR + at;
}

void streams_write_page(streams_t* s, uint64_t cursor, cw_stream_message_t* message) {
    int64_t now_ms = clock_ms();
    uint64_t next = cursor;
    message->count = 1; /* the head */
    if (next < STREAMS_CURSOR) {
        next = write_versions(s, now_ms, next, message);
    }
    if (next >= STREAMS_CURSOR && message->count < CW_STREAM_ENTRIES) {
        next = write_streams(s, now_ms, next, message);
    }
    bool is_last = message->count < CW_STREAM_ENTRIES;
    message->entries[0] = (cw_stream_entry_t){.stream = cursor,
                                              .pool = next,
                                              .version = is_last,
                                              .left_ms = is_list_fresh(s) ? clamp_ms(known_ms(s, now_ms)) : 0};
    s->stats.pages_sent++;
}

bool streams_is_settled(const streams_t* s) {
    return cw_handover_is_settled(&s->handover);
}

bool streams_is_handover_due(const streams_t* s, int64_t now_ms) {
    return cw_handover_is_due(&s->handover, now_ms);
}

bool streams_next_handover(streams_t* s, int64_t now_ms, const uint64_t* candidates, uint32_t count,
                           cw_handover_request_t* request) {
    bool was_settled = cw_handover_is_settled(&s->handover);
    bool is_due = cw_handover_next(&s->handover, now_ms, candidates, count, request);
    if (cw_handover_is_settled(&s->handover) && !was_settled) {
        cw_log(s->desc.log, CW_EVENT_HANDOVER, "sources=%u streams=%u known_ms=%lld candidates=%u took_ms=%lld",
               s->handover.complete_count, cw_stream_registry_count(s->registry), (long long)known_ms(s, now_ms), count,
               (long long)(now_ms - s->setup_ms));
    }
    return is_due;
}

static void learn_version(streams_t* s, int64_t now_ms, const cw_stream_entry_t* entry) {
    for (pool_t* pool = upstreams_pools(s->desc.upstreams); pool; pool = pool->next) {
        if (pool->id == entry->pool && entry->version) {
            cw_pool_versions_learn(&pool->versions, now_ms, entry->version, entry->left_ms);
        }
    }
}

/* What the source knows holds here from then on only if this host has a fresh list, too: between the two lists a
   version may have come and gone. */
static void inherit(streams_t* s) {
    int64_t from_ms = cw_handover_known_from_ms(&s->handover, s->setup_ms);
    if (from_ms < s->setup_ms && is_list_fresh(s)) {
        s->inherited_ms = from_ms;
    }
}

void streams_on_page(streams_t* s, const cw_stream_message_t* message) {
    const cw_stream_entry_t* head = &message->entries[0];
    int64_t now_ms = clock_ms();
    cw_handover_page_t page = {
        .cursor = head->stream, .next = head->pool, .is_last = head->version != 0, .known_ms = head->left_ms};
    if (!message->count || !cw_handover_on_page(&s->handover, now_ms, message->host, &page)) {
        return;
    }
    s->stats.pages_received++;
    for (uint32_t i = 1; i < message->count; i++) {
        const cw_stream_entry_t* entry = &message->entries[i];
        if (!entry->stream) {
            learn_version(s, now_ms, entry);
        } else if (entry->version) {
            streams_on_announced(s, &(cw_stream_record_t){.stream = entry->stream,
                                                          .pool = entry->pool,
                                                          .version = entry->version,
                                                          .expires_ms = now_ms + entry->left_ms});
        }
    }
    if (page.is_last) {
        inherit(s);
    }
}

streams_stats_t streams_stats(const streams_t* s) {
    streams_stats_t stats = s->stats;
    stats.known = cw_stream_registry_count(s->registry);
    stats.evicted = cw_stream_registry_evicted(s->registry);
    stats.is_settled = cw_handover_is_settled(&s->handover);
    return stats;
}
