/* What engines and the source still have of a stream whose version no host remembers. */
#include <stdio.h>

#include "clock.h"
#include "streams_internal.h"

#define CLOCK_SKEW_MS 5000 /* between this host and servers */
#define RUN_KEY_SEED 0x72756eU
#define CACHE_BLOCK_TOKENS 64 /* largest block of an engine's cache: the last one is kept only if it is full */

#define VERSION_TEXT_SIZE 24

static const char* version_text(const cw_stream_versions_t* v, char out[VERSION_TEXT_SIZE]) {
    snprintf(out, VERSION_TEXT_SIZE, v->version ? "%016llx" : "none", (unsigned long long)v->version);
    return v->is_several ? "several" : out;
}

void streams_log_inquiry(const streams_t* s, const stream_request_t* request, const cw_stream_inquiry_t* q) {
    char texts[CW_STREAM_QUESTION_COUNT + 2][VERSION_TEXT_SIZE];
    cw_log(s->desc.log, CW_EVENT_STREAM_INQUIRY,
           "id=%s stream=%016llx pool=%s run=%s events=%s at_least=%s prompt=%s unqueried=%s left=%s rounds=%u "
           "replies=%u of=%u other_views=%u own=%s history=%s took_ms=%lld",
           request->id, (unsigned long long)request->stream, request->pool->name,
           version_text(&q->found[CW_STREAM_RUN], texts[0]), version_text(&q->found[CW_STREAM_EVENTS], texts[1]),
           version_text(&q->found[CW_STREAM_AT_LEAST], texts[2]), version_text(&q->found[CW_STREAM_PROMPT], texts[3]),
           version_text(&q->unqueried, texts[4]), q->may_have_left ? "unknown" : version_text(&q->left, texts[5]),
           q->round, q->complete, q->audience.replies, q->other_views, q->is_own_open ? "open" : "complete",
           s->is_history_complete   ? "complete"
           : s->is_history_retained ? "retained"
                                    : "none",
           (long long)(q->begun_ms ? clock_ms() - q->begun_ms : 0));
}

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
    const pool_t* pool = streams_find_pool(s, pool_id);
    return !streams_has_full_memory(s, now_ms) && (!s->is_history_retained || !pool || has_recent_engine(s, pool));
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
    const pool_t* pool = streams_find_pool(s, pool_id);
    if (pool) {
        departed.is_several =
            cw_pool_versions_departed(&pool->versions, now_ms, s->known_min_ms, &departed.version) > 1;
    }
    return departed;
}

/* Hosts with the same view agree on which engines there are, and on who queries each of them. */
static uint64_t view_of_fleet(const streams_t* s, uint64_t pool_id) {
    const pool_t* pool = streams_find_pool(s, pool_id);
    uint64_t fleet_set = s->desc.fleet_set ? s->desc.fleet_set(s->desc.user_data) : 0;
    return cw_mix(fleet_set, pool ? pool->listed_set : 0);
}

static bool is_inventory_complete(const streams_t* s) {
    return !s->desc.is_inventory_complete || s->desc.is_inventory_complete(s->desc.user_data);
}

/* Most tokens of an engine's part with which it answers a CW_STREAM_EVENTS of at least min_tokens. */
static uint32_t max_event_tokens(const streams_t* s, uint64_t pool_id, uint32_t min_tokens) {
    const pool_t* pool = streams_find_pool(s, pool_id);
    return min_tokens + CACHE_BLOCK_TOKENS + (pool ? CW_STREAM_EVENTS_LAG * pool->event_tokens : 0);
}

/* What engines, as far as this host queries them, show of a part with so many tokens, or of a run with so many events.
 */
static cw_stream_reply_t find_engines(const streams_t* s, const cw_stream_entry_t* inquiry) {
    int64_t now_ms = clock_ms();
    int64_t since_ms = now_ms - s->memory_ms;
    bool is_bounded = inquiry->left_ms >> CW_STREAM_QUESTION_BIT == CW_STREAM_EVENTS;
    uint32_t min_tokens = inquiry->left_ms & CW_STREAM_AMOUNT_MAX;
    cw_part_query_t query = {.pool = inquiry->pool,
                             .part = inquiry->version,
                             .since_ms = since_ms,
                             .min_tokens = min_tokens,
                             .max_tokens = is_bounded ? max_event_tokens(s, inquiry->pool, min_tokens) : 0};
    cw_stream_findings_t findings = {.unqueried = find_unqueried(s, inquiry->pool),
                                     .left = find_departed(s, inquiry->pool, now_ms),
                                     .is_open =
                                         !is_inventory_complete(s) || cw_part_versions_has_dropped(s->parts, since_ms)};
    findings.found.is_several = cw_part_versions_find(s->parts, &query, &findings.found.version) > 1;
    cw_stream_reply_t reply = cw_stream_reply_make(&findings);
    reply.round = inquiry->left_ms >> CW_STREAM_ROUND_BIT;
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

static void search_own_engines(const streams_t* s, int64_t now_ms, const stream_request_t* request,
                               const inquiry_items_t* list, cw_stream_inquiry_t* inquiry) {
    inquiry->is_own_open = false;
    inquiry->own_view = view_of_fleet(s, request->pool->id);
    inquiry->may_have_left = list->count && may_have_missed_departures(s, request->pool->id, now_ms);
    for (uint32_t i = 0; i < list->count; i++) {
        cw_stream_reply_t own = find_engines(s, &list->items[i]);
        cw_stream_inquiry_on_own(inquiry, list->items[i].left_ms >> CW_STREAM_QUESTION_BIT, &own);
        inquiry->is_own_open = inquiry->is_own_open || own.coverage == CW_STREAM_COVERS_SOME;
    }
}

static void send_round(const streams_t* s, int64_t now_ms, const stream_request_t* request, const inquiry_items_t* list,
                       cw_stream_inquiry_t* inquiry) {
    uint32_t round = cw_stream_inquiry_next_round(inquiry);
    cw_stream_audience_t audience = {.view = view_of_fleet(s, request->pool->id)};
    for (uint32_t i = 0; i < list->count && s->desc.inquire; i++) {
        cw_stream_entry_t item = list->items[i];
        item.left_ms |= round << CW_STREAM_ROUND_BIT;
        s->desc.inquire(s->desc.user_data, &item, &audience);
    }
    cw_stream_inquiry_on_round(inquiry, now_ms, &audience);
}

bool streams_inquire(streams_t* s, const stream_request_t* request, cw_stream_inquiry_t* inquiry) {
    int64_t now_ms = clock_ms();
    streams_check_list(s, now_ms);
    if (streams_has_heard_all(s, now_ms)) {
        return false; /* a stream that it doesn't know was not announced */
    }
    const inquiry_items_t list = list_items(request);
    if (!inquiry->begun_ms) {
        cw_stream_inquiry_begin(inquiry, now_ms);
    }
    bool reads_history = !s->is_history_complete && s->desc.read_history &&
                         s->desc.read_history(s->desc.user_data, cw_spans_end_ms(&s->unknown));
    search_own_engines(s, now_ms, request, &list, inquiry);
    if (cw_stream_inquiry_is_due(inquiry, now_ms)) {
        send_round(s, now_ms, request, &list, inquiry);
    }
    bool is_late = now_ms - inquiry->begun_ms >= CW_STREAM_INQUIRY_MS;
    return !is_late && (reads_history || !cw_stream_inquiry_is_decided(inquiry, now_ms));
}

void streams_on_evidence(cw_stream_inquiry_t* inquiry, uint64_t host, const cw_stream_entry_t* evidence) {
    const uint32_t question = evidence->left_ms >> CW_STREAM_QUESTION_BIT;
    const cw_stream_reply_t reply = {.host = host,
                                     .view = evidence->pool,
                                     .round = (evidence->left_ms >> CW_STREAM_ROUND_BIT) & CW_STREAM_INQUIRY_ROUNDS_MAX,
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
    return !streams_has_long_memory(s, clock_ms());
}

void streams_on_inquiry(const streams_t* s, const cw_stream_entry_t* inquiry, cw_stream_entry_t* evidence) {
    cw_stream_reply_t reply = find_engines(s, inquiry);
    *evidence = (cw_stream_entry_t){.stream = inquiry->stream,
                                    .pool = view_of_fleet(s, inquiry->pool),
                                    .version = reply.version,
                                    .left_ms = reply.round << CW_STREAM_ROUND_BIT | reply.coverage};
}

void streams_learn_listed(streams_t* s, const cw_server_t* entry) {
    int64_t now_ms = clock_ms();
    uint64_t version = cw_server_version_id(entry);
    const server_t* server = upstreams_server(s->desc.upstreams, cw_server_incarnation_id(entry));
    bool is_listed = server && server->is_listed && cw_server_version_id(&server->published) == version;
    streams_learn_version(
        s, now_ms,
        &(pending_version_t){
            .pool = cw_name_id(entry->pool), .version = version, .listed_ms = now_ms, .has_departed = !is_listed});
}

void streams_on_history(streams_t* s, source_coverage_t coverage) {
    s->is_history_complete = coverage == SOURCE_HISTORY_COMPLETE;
    s->is_history_retained = coverage != SOURCE_HISTORY_NONE;
}
