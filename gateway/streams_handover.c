/* Handover: what this host knows, for hosts that start, and what others know, for this one. */
#include "clock.h"
#include "streams_internal.h"

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
    if (!streams_is_list_fresh(s)) {
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
    streams_check_list(s, now_ms);
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
    message->entries[0] =
        (cw_stream_entry_t){.stream = cursor,
                            .pool = next,
                            .version = is_last,
                            .left_ms = streams_is_list_fresh(s) ? clamp_ms(streams_known_ms(s, now_ms)) : 0};
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
               s->handover.complete_count, cw_stream_registry_count(s->registry),
               (long long)streams_known_ms(s, now_ms), count, (long long)(now_ms - s->handover.desc.now_ms));
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
    if (!streams_is_list_fresh(s)) {
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
    streams_check_list(s, now_ms);
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
            streams_learn_version(s, now_ms,
                                  &(pending_version_t){.pool = entry->pool,
                                                       .version = entry->version,
                                                       .listed_ms = now_ms - entry->left_ms});
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
