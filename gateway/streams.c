#include "streams.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"

#define CAPACITY_DEFAULT 16384
#define LONGEST_DEFAULT_MS 30000
/* A version is remembered for this multiple of the longest stream: hosts learn at different times that it has gone. */
#define MEMORY_FACTOR 2
/* After the deadline has cut off a stream, in which its caller may resume it. */
#define RESUMPTION_MS 2000
/* Servers of a version that has left the list may begin streams for so long, at hosts whose list is late. */
#define LIST_LATENESS_MS 5000
#define PARTS_MAX 16384    /* parts that engines have listed, remembered for as long as streams last */
#define CLOCK_SKEW_MS 5000 /* between this host and servers */
#define RUN_KEY_SEED 0x72756eU
#define CACHE_BLOCK_TOKENS 64 /* largest block of an engine's cache: the last one is kept only if it is full */
#define ANNOUNCE_BATCH 64     /* own streams read at once when they are announced */
#define POOLS_ANNOUNCING_MAX 64
#define PENDING_VERSIONS_MAX 256

/* What the host that is asked now has said of its own knowledge, by this host's clock. */
typedef struct handover_source_t {
    int64_t requested_ms; /* when the last page was requested */
    int64_t from_ms;      /* its start */
    bool has_spans;       /* hosts of earlier releases don't send any */
    cw_spans_t unknown;
} handover_source_t;

/* A version of a pool that this host doesn't know yet: others are asked before the configuration is read. */
typedef struct pending_version_t {
    uint64_t pool, version;
    int64_t listed_ms; /* when a server of it was listed last */
    bool has_departed; /* a server of it has left the list */
} pending_version_t;

struct streams_t {
    streams_desc_t desc;
    cw_stream_registry_t* registry;
    uint32_t memory_ms;    /* for which a version is remembered */
    uint32_t known_min_ms; /* a host that has seen the versions for so long knows that of each stream that is alive */
    uint32_t peak_hosts;   /* most that were known at once */
    int64_t first_list_ms; /* when a list of servers was first read, 0: none yet */
    int64_t heard_from_ms; /* this host itself has heard all that was announced since then */
    int64_t stale_from_ms; /* when the list that is not fresh was last known to be current; 0: it is */
    int64_t confirmed_ms;  /* when the list was last known to be current, as seen by check_list */
    cw_spans_t unknown;    /* times of which this host doesn't know what versions served */
    cw_handover_t handover;
    handover_source_t source;
    int64_t sources_from_ms;                   /* all hosts that have replied to the handover run since then */
    bool is_history_complete;                  /* the source has shown all versions that have ever served */
    bool is_history_retained;                  /* it has shown which servers have gone for as long as it remembers */
    cw_part_versions_t* parts;                 /* what engines have listed */
    uint64_t announcing[POOLS_ANNOUNCING_MAX]; /* ids of the pools whose streams are announced */
    uint32_t announcing_count;
    pending_version_t pending[PENDING_VERSIONS_MAX];
    uint32_t pending_count;
    uint64_t evicted;   /* records that found no room, as last seen */
    int64_t evicted_ms; /* when that changed last, 0: never */
    streams_stats_t stats;
};

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

static pool_t* find_pool(const streams_t* s, uint64_t id) {
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
        pool_t* pool = find_pool(s, v.pool);
        if (pool) {
            learn_in_pool(pool, now_ms, &v);
        } else if (now_ms - v.listed_ms < s->memory_ms) {
            s->pending[kept++] = v;
        }
    }
    s->pending_count = kept;
}

/* A version that has served in a pool, which may not be declared yet. Without room for it, this host doesn't know what
   has served. */
static void learn_version(streams_t* s, int64_t now_ms, const pending_version_t* v) {
    pool_t* pool = find_pool(s, v->pool);
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

static bool is_list_fresh(const streams_t* s) {
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

/* Finds the gaps between lists. Before the first list, versions may have served streams and gone that this host has
   never seen. */
static void check_list(streams_t* s, int64_t now_ms) {
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

/* For how long this host knows the versions that have served. */
static int64_t known_ms(const streams_t* s, int64_t now_ms) {
    return now_ms - cw_spans_end_ms(&s->unknown);
}

/* Whether this host, or one that handed over to it, has lived for longer than streams last. */
static bool has_long_memory(const streams_t* s, int64_t now_ms) {
    return known_ms(s, now_ms) >= s->known_min_ms;
}

/* Whether this host itself was there when each stream that is still alive was announced. What others handed over may
   lack records: each host that kept one may have ended. Nor is a record there that found no room. */
static bool has_heard_all(streams_t* s, int64_t now_ms) {
    uint64_t evicted = cw_stream_registry_evicted(s->registry);
    s->evicted_ms = evicted != s->evicted ? now_ms : s->evicted_ms;
    s->evicted = evicted;
    bool has_room = !s->evicted_ms || now_ms - s->evicted_ms >= s->memory_ms;
    return has_room && now_ms - s->heard_from_ms >= s->known_min_ms;
}

/* Whether this host knows each version that a live stream can have. */
static bool has_full_memory(const streams_t* s, int64_t now_ms) {
    return s->is_history_complete || has_long_memory(s, now_ms);
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
    check_list(s, now_ms);
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

#define VERSION_TEXT_SIZE 24

static const char* version_text(const cw_stream_versions_t* v, char out[VERSION_TEXT_SIZE]) {
    snprintf(out, VERSION_TEXT_SIZE, v->version ? "%016llx" : "none", (unsigned long long)v->version);
    return v->is_several ? "several" : out;
}

/* Logs on what the version of a stream rests, or why it stays unknown. */
static void log_inquiry(const streams_t* s, const stream_request_t* request, const cw_stream_inquiry_t* q) {
    char texts[CW_STREAM_QUESTION_COUNT + 2][VERSION_TEXT_SIZE];
    cw_log(s->desc.log, CW_EVENT_STREAM_INQUIRY,
           "id=%s stream=%016llx pool=%s run=%s events=%s at_least=%s prompt=%s unqueried=%s left=%s rounds=%u "
           "replies=%u of=%u own=%s history=%s took_ms=%lld",
           request->id, (unsigned long long)request->stream, request->pool->name,
           version_text(&q->found[CW_STREAM_RUN], texts[0]), version_text(&q->found[CW_STREAM_EVENTS], texts[1]),
           version_text(&q->found[CW_STREAM_AT_LEAST], texts[2]), version_text(&q->found[CW_STREAM_PROMPT], texts[3]),
           version_text(&q->unqueried, texts[4]), q->may_have_left ? "unknown" : version_text(&q->left, texts[5]),
           q->round, q->complete, q->queried, q->is_own_open ? "open" : "complete",
           s->is_history_complete   ? "complete"
           : s->is_history_retained ? "retained"
                                    : "none",
           (long long)(q->begun_ms ? clock_ms() - q->begun_ms : 0));
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
           (long long)s->desc.list_age_ms(s->desc.user_data), (long long)known_ms(s, now_ms),
           (unsigned long long)request->part, request->part_tokens);
    return version;
}

uint64_t streams_resolve(streams_t* s, const stream_request_t* request) {
    int64_t now_ms = clock_ms();
    check_list(s, now_ms);
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
        log_inquiry(s, request, inquiry);
    }
    return version ? version : report(s, request, found, found ? STREAM_ENGINES : STREAM_UNKNOWN);
}

/* -- what the source and engines still have of streams --------------------- */

/* Key of a run among the parts. name_id: cw_name_id of the request's id. */
static uint64_t run_key(uint64_t name_id) {
    return cw_mix(name_id, RUN_KEY_SEED);
}

/* Whether an engine of the pool has started since streams that are alive began: it may have replaced another one. */
static bool has_recent_engine(const streams_t* s, const pool_t* pool) {
    int64_t since_ms = cw_clock_unix_ms() - s->known_min_ms - CLOCK_SKEW_MS;
    const server_t* server = pool->servers;
    while (server && !(server->is_listed && server->published.started_ms > since_ms)) {
        server = server->next;
    }
    return server != NULL;
}

/* Whether engines may have left the list before this host's start that it doesn't know of, and have begun streams that
   are alive. A source may have forgotten what has gone sooner than streams end: then engines that state their start
   show that there were others. */
static bool may_have_missed_departures(const streams_t* s, uint64_t pool_id, int64_t now_ms) {
    const pool_t* pool = find_pool(s, pool_id);
    return !has_full_memory(s, now_ms) && (!s->is_history_retained || !pool || has_recent_engine(s, pool));
}

/* Versions of listed engines that failed to reply. */
static cw_stream_versions_t find_unqueried(const streams_t* s, uint64_t pool_id) {
    cw_stream_versions_t unqueried = {0};
    uint32_t count =
        s->desc.count_unlisted ? s->desc.count_unlisted(s->desc.user_data, pool_id, &unqueried.version) : 0;
    unqueried.is_several = count > 1;
    return unqueried;
}

/* Versions of engines that have left the list since streams that are alive began. */
static cw_stream_versions_t find_departed(const streams_t* s, uint64_t pool_id, int64_t now_ms) {
    cw_stream_versions_t departed = {0};
    const pool_t* pool = find_pool(s, pool_id);
    if (pool) {
        departed.is_several =
            cw_pool_versions_departed(&pool->versions, now_ms, s->known_min_ms, &departed.version) > 1;
    }
    return departed;
}

static bool is_inventory_complete(const streams_t* s) {
    return !s->desc.is_inventory_complete || s->desc.is_inventory_complete(s->desc.user_data);
}

/* Most tokens of an engine's part with which it answers a CW_STREAM_EVENTS of at least min_tokens. */
static uint32_t max_event_tokens(const streams_t* s, uint64_t pool_id, uint32_t min_tokens) {
    const pool_t* pool = find_pool(s, pool_id);
    return min_tokens + CACHE_BLOCK_TOKENS + (pool ? CW_STREAM_EVENTS_LAG * pool->event_tokens : 0);
}

/* What engines, as far as this host queries them, show of a part with so many tokens, or of a run with so many events.
 */
static cw_stream_reply_t find_engines(const streams_t* s, const cw_stream_entry_t* inquiry) {
    uint64_t version = 0;
    int64_t now_ms = clock_ms();
    int64_t since_ms = now_ms - s->memory_ms;
    bool is_bounded = inquiry->left_ms >> CW_STREAM_QUESTION_BIT == CW_STREAM_EVENTS;
    uint32_t min_tokens = inquiry->left_ms & CW_STREAM_AMOUNT_MAX;
    cw_part_query_t query = {.pool = inquiry->pool,
                             .part = inquiry->version,
                             .since_ms = since_ms,
                             .min_tokens = min_tokens,
                             .max_tokens = is_bounded ? max_event_tokens(s, inquiry->pool, min_tokens) : 0};
    uint32_t versions = cw_part_versions_find(s->parts, &query, &version);
    cw_stream_versions_t unqueried = find_unqueried(s, inquiry->pool);
    cw_stream_versions_t departed = find_departed(s, inquiry->pool, now_ms);
    cw_stream_reply_t reply = {.round = inquiry->left_ms >> CW_STREAM_ROUND_BIT,
                               .version = versions == 1 ? version : 0};
    if (versions > 1) {
        reply.coverage = CW_STREAM_HAS_SEVERAL;
    } else if (!is_inventory_complete(s) || cw_part_versions_has_dropped(s->parts, since_ms)) {
        reply.coverage = CW_STREAM_COVERS_SOME;
    } else if (unqueried.is_several || (versions && unqueried.version && unqueried.version != version)) {
        reply.coverage = CW_STREAM_COVERS_LISTED;
    } else if (unqueried.version && !versions) {
        reply = (cw_stream_reply_t){
            .round = reply.round, .version = unqueried.version, .coverage = CW_STREAM_COVERS_ALL_BUT};
    } else if (departed.is_several || (versions && departed.version && departed.version != version)) {
        reply.coverage = CW_STREAM_COVERS_STAYED;
    } else if (departed.version && !versions) {
        reply.version = departed.version;
        reply.coverage = CW_STREAM_COVERS_LEFT;
    }
    return reply;
}

/* Tokens of the last part that an engine caches at least which has prefilled the prompt. */
static uint32_t min_cached_tokens(const stream_request_t* request) {
    return request->part_tokens > CACHE_BLOCK_TOKENS ? request->part_tokens - CACHE_BLOCK_TOKENS : 1;
}

/* The same if it has also written the events that the caller has. */
static uint32_t min_event_tokens(const stream_request_t* request) {
    uint32_t made = request->events * request->pool->event_tokens;
    return request->part_tokens + (made > CACHE_BLOCK_TOKENS ? made - CACHE_BLOCK_TOKENS : 1);
}

/* What engines are searched for. */
typedef struct inquiry_items_t {
    cw_stream_entry_t items[CW_STREAM_QUESTION_COUNT]; /* the question is in left_ms */
    uint32_t count;
} inquiry_items_t;

static void add_item(inquiry_items_t* list, const stream_request_t* request, cw_stream_question_t question,
                     uint64_t item, uint32_t amount) {
    amount = amount < CW_STREAM_AMOUNT_MAX ? amount : CW_STREAM_AMOUNT_MAX;
    list->items[list->count++] = (cw_stream_entry_t){.stream = request->inquiry,
                                                     .pool = request->pool->id,
                                                     .version = item,
                                                     .left_ms = (uint32_t)question << CW_STREAM_QUESTION_BIT | amount};
}

/* No items: the prompt is unknown. */
static inquiry_items_t list_items(const stream_request_t* request) {
    inquiry_items_t list = {.count = 0};
    if (request->part) {
        add_item(&list, request, CW_STREAM_PROMPT, request->part, min_cached_tokens(request));
    }
    if (request->part && request->pool->event_tokens) {
        add_item(&list, request, CW_STREAM_AT_LEAST, request->part, min_event_tokens(request));
    }
    if (request->part && request->events * request->pool->event_tokens >= CACHE_BLOCK_TOKENS) {
        add_item(&list, request, CW_STREAM_EVENTS, request->part, min_event_tokens(request));
    }
    if (request->part && request->resumes[0]) {
        add_item(&list, request, CW_STREAM_RUN, run_key(cw_name_id(request->resumes)), request->events);
    }
    return list;
}

static void search_own_engines(const streams_t* s, int64_t now_ms, const inquiry_items_t* list,
                               cw_stream_inquiry_t* inquiry) {
    inquiry->is_own_open = false;
    inquiry->may_have_left = list->count && may_have_missed_departures(s, list->items[0].pool, now_ms);
    for (uint32_t i = 0; i < list->count; i++) {
        cw_stream_reply_t own = find_engines(s, &list->items[i]);
        cw_stream_inquiry_on_own(inquiry, list->items[i].left_ms >> CW_STREAM_QUESTION_BIT, &own);
        inquiry->is_own_open = inquiry->is_own_open || own.coverage == CW_STREAM_COVERS_SOME;
    }
}

static void send_round(const streams_t* s, int64_t now_ms, const inquiry_items_t* list, cw_stream_inquiry_t* inquiry) {
    uint32_t round = cw_stream_inquiry_next_round(inquiry);
    uint32_t hosts = 0;
    for (uint32_t i = 0; i < list->count && s->desc.inquire; i++) {
        cw_stream_entry_t item = list->items[i];
        item.left_ms |= round << CW_STREAM_ROUND_BIT;
        hosts = s->desc.inquire(s->desc.user_data, &item);
    }
    cw_stream_inquiry_on_round(inquiry, now_ms, hosts, list->count);
}

bool streams_inquire(streams_t* s, const stream_request_t* request, cw_stream_inquiry_t* inquiry) {
    int64_t now_ms = clock_ms();
    check_list(s, now_ms);
    if (has_heard_all(s, now_ms)) {
        return false; /* a stream that it doesn't know was not announced */
    }
    const inquiry_items_t list = list_items(request);
    if (!inquiry->begun_ms) {
        cw_stream_inquiry_begin(inquiry, now_ms);
    }
    bool reads_history = !s->is_history_complete && s->desc.read_history &&
                         s->desc.read_history(s->desc.user_data, cw_spans_end_ms(&s->unknown));
    search_own_engines(s, now_ms, &list, inquiry);
    if (cw_stream_inquiry_is_due(inquiry, now_ms)) {
        send_round(s, now_ms, &list, inquiry);
    }
    bool is_late = now_ms - inquiry->begun_ms >= CW_STREAM_INQUIRY_MS;
    return !is_late && (reads_history || !cw_stream_inquiry_is_decided(inquiry, now_ms));
}

void streams_on_evidence(cw_stream_inquiry_t* inquiry, const cw_stream_entry_t* evidence) {
    const uint32_t question = evidence->left_ms >> CW_STREAM_QUESTION_BIT;
    const cw_stream_reply_t reply = {.round = (evidence->left_ms >> CW_STREAM_ROUND_BIT) & CW_STREAM_INQUIRY_ROUNDS_MAX,
                                     .version = evidence->version,
                                     .coverage = (cw_stream_coverage_t)(evidence->left_ms & CW_STREAM_AMOUNT_MAX)};
    if (reply.coverage < CW_STREAM_COVERAGE_COUNT && question < CW_STREAM_QUESTION_COUNT) {
        cw_stream_inquiry_on_reply(inquiry, (cw_stream_question_t)question, &reply);
    }
}

void streams_on_cached_parts(streams_t* s, const pool_t* pool, uint64_t version, const cw_prompt_part_t* parts,
                             uint32_t count) {
    int64_t now_ms = clock_ms();
    for (uint32_t i = 0; i < count; i++) {
        cw_part_versions_add(
            s->parts, now_ms,
            &(cw_part_version_t){.pool = pool->id, .part = parts[i].id, .version = version, .tokens = parts[i].tokens});
    }
}

void streams_on_runs(streams_t* s, const pool_t* pool, uint64_t version, const cw_prompt_part_t* runs, uint32_t count) {
    for (uint32_t i = 0; i < count; i++) {
        const cw_prompt_part_t run = {.id = run_key(runs[i].id), .tokens = runs[i].tokens};
        streams_on_cached_parts(s, pool, version, &run, 1);
    }
}

bool streams_may_have_missed(const streams_t* s) {
    return !has_long_memory(s, clock_ms());
}

void streams_on_inquiry(const streams_t* s, const cw_stream_entry_t* inquiry, cw_stream_entry_t* evidence) {
    cw_stream_reply_t reply = find_engines(s, inquiry);
    *evidence = (cw_stream_entry_t){.stream = inquiry->stream,
                                    .pool = inquiry->pool,
                                    .version = reply.version,
                                    .left_ms = reply.round << CW_STREAM_ROUND_BIT | reply.coverage};
}

void streams_learn_listed(streams_t* s, const cw_server_t* entry) {
    int64_t now_ms = clock_ms();
    uint64_t version = cw_server_version_id(entry);
    const server_t* server = upstreams_server(s->desc.upstreams, cw_server_incarnation_id(entry));
    bool is_listed = server && server->is_listed && cw_server_version_id(&server->published) == version;
    learn_version(
        s, now_ms,
        &(pending_version_t){
            .pool = cw_name_id(entry->pool), .version = version, .listed_ms = now_ms, .has_departed = !is_listed});
}

void streams_on_history(streams_t* s, source_coverage_t coverage) {
    s->is_history_complete = coverage == SOURCE_HISTORY_COMPLETE;
    s->is_history_retained = coverage != SOURCE_HISTORY_NONE;
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
           (long long)s->desc.list_age_ms(s->desc.user_data), (long long)known_ms(s, now_ms));
}

bool streams_on_query(streams_t* s, uint64_t stream, uint64_t pool_id, cw_stream_record_t* record) {
    int64_t now_ms = clock_ms();
    check_list(s, now_ms);
    const cw_stream_record_t* known = cw_stream_registry_find(s->registry, now_ms, stream);
    const pool_t* pool = find_pool(s, pool_id);
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

static void add_span(cw_stream_message_t* message, int64_t now_ms, const cw_span_t* span) {
    bool is_endless = span->from_ms == CW_SPANS_FOREVER_MS;
    uint64_t length_ms = is_endless ? CW_STREAM_SPAN_ENDLESS : (uint64_t)(span->to_ms - span->from_ms);
    add_entry(message, 0, 0, length_ms, now_ms - span->to_ms);
}

/* Writes this host's start, and the times of which it doesn't know the versions. */
static void write_spans(const streams_t* s, int64_t now_ms, cw_stream_message_t* message) {
    if (!s->first_list_ms) {
        return;
    }
    add_entry(message, 0, 0, 0, now_ms - s->first_list_ms);
    cw_spans_t unknown = s->unknown;
    if (!is_list_fresh(s)) {
        cw_spans_add(&unknown, now_ms - s->desc.list_age_ms(s->desc.user_data), now_ms);
    }
    for (uint32_t i = 0; i < unknown.count; i++) {
        add_span(message, now_ms, &unknown.items[i]);
    }
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
    check_list(s, now_ms);
    uint64_t next = cursor;
    message->count = 1; /* the head */
    if (!cursor) {
        write_spans(s, now_ms, message);
    }
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
               (long long)(now_ms - s->handover.desc.now_ms));
    }
    bool is_first_send = is_due && s->handover.sends == 1;
    s->source.requested_ms = is_first_send ? now_ms : s->source.requested_ms;
    return is_due;
}

/* A span, or the start, of the host that is asked. It was measured after the page had been requested, and not later
   than now: what is uncertain counts as unknown. */
static void read_span(handover_source_t* source, int64_t now_ms, const cw_stream_entry_t* entry) {
    int64_t from_ms = CW_SPANS_FOREVER_MS;
    if (!entry->version) {
        source->from_ms = now_ms - entry->left_ms;
        source->has_spans = true;
        return;
    }
    if (entry->version <= INT32_MAX) {
        from_ms = source->requested_ms - entry->left_ms - (int64_t)entry->version;
    }
    cw_spans_add(&source->unknown, from_ms, now_ms - entry->left_ms);
}

/* Whether all hosts, as far as that many can be asked, have replied to the handover. */
static bool have_all_replied(const streams_t* s) {
    uint32_t others = s->peak_hosts - 1;
    uint32_t wanted = others < CW_HANDOVER_SOURCES_MAX ? others : CW_HANDOVER_SOURCES_MAX;
    return wanted && s->handover.complete_count >= wanted;
}

/* What the host that was asked knows holds here from then on only if this host has a fresh list, too: between the two
   lists a version may have come and gone. If all hosts, this one included, were there and none had a list, no stream
   can have begun at a version that is not known. */
static void inherit(streams_t* s, int64_t now_ms) {
    int64_t all_from_ms = s->sources_from_ms > s->first_list_ms ? s->sources_from_ms : s->first_list_ms;
    int64_t known_from_ms = cw_handover_known_from_ms(&s->handover, now_ms);
    if (!is_list_fresh(s)) {
        return;
    }
    if (known_from_ms < now_ms) {
        cw_spans_intersect(&s->unknown, &(cw_spans_t){.count = 1, .items = {{CW_SPANS_FOREVER_MS, known_from_ms}}});
    }
    if (s->source.has_spans) {
        cw_spans_intersect(&s->unknown, &s->source.unknown);
    }
    if (have_all_replied(s)) {
        cw_spans_drop_since(&s->unknown, all_from_ms);
    }
}

/* Whether the source tells its gaps, as the first page of this release does. */
static bool tells_gaps(const streams_t* s, const cw_stream_message_t* message) {
    bool is_told = message->entries[0].stream && s->source.has_spans;
    for (uint32_t i = 1; i < message->count; i++) {
        const cw_stream_entry_t* entry = &message->entries[i];
        is_told = is_told || (!entry->stream && !entry->pool && !entry->version);
    }
    return is_told;
}

void streams_on_page(streams_t* s, const cw_stream_message_t* message) {
    const cw_stream_entry_t* head = &message->entries[0];
    int64_t now_ms = clock_ms();
    cw_handover_page_t page = {
        .cursor = head->stream, .next = head->pool, .is_last = head->version != 0, .known_ms = head->left_ms};
    check_list(s, now_ms);
    if (s->stats.list_gaps && message->count && !tells_gaps(s, message)) {
        page.known_ms = 0; /* an earlier release counts its gaps as known: they may be the same as this host's */
    }
    if (!message->count || !cw_handover_on_page(&s->handover, now_ms, message->host, &page)) {
        return;
    }
    s->stats.pages_received++;
    if (!page.cursor) {
        s->source = (handover_source_t){.requested_ms = s->source.requested_ms, .from_ms = now_ms};
    }
    for (uint32_t i = 1; i < message->count; i++) {
        const cw_stream_entry_t* entry = &message->entries[i];
        if (!entry->stream && !entry->pool) {
            read_span(&s->source, now_ms, entry);
        } else if (!entry->stream) {
            learn_version(s, now_ms,
                          &(pending_version_t){
                              .pool = entry->pool, .version = entry->version, .listed_ms = now_ms - entry->left_ms});
        } else if (entry->version) {
            streams_on_announced(s, &(cw_stream_record_t){.stream = entry->stream,
                                                          .pool = entry->pool,
                                                          .version = entry->version,
                                                          .expires_ms = now_ms + entry->left_ms});
        }
    }
    if (page.is_last) {
        s->sources_from_ms = s->source.from_ms > s->sources_from_ms ? s->source.from_ms : s->sources_from_ms;
        inherit(s, now_ms);
    }
}

streams_stats_t streams_stats(const streams_t* s) {
    streams_stats_t stats = s->stats;
    stats.known = cw_stream_registry_count(s->registry);
    stats.evicted = cw_stream_registry_evicted(s->registry);
    stats.is_settled = cw_handover_is_settled(&s->handover);
    return stats;
}
