/* Reads the events of a stream, and checks them in the order in which its caller got them. */
#include "soak_streams.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "soak.h"

#define VERSIONS_MAX 1000 /* highest version of an upstream */
#define EVENT_END "\n\n"

/* Returns whether upstreams of this version send the data in an event of the stream. */
static bool is_sent_by(uint32_t version, const char* stream_id, uint32_t id, unsigned long long data) {
    char stream[64];
    snprintf(stream, sizeof(stream), "%s/%u", stream_id, version);
    return XXH64(stream, strlen(stream), id) == data;
}

/* Returns the version of the upstreams that send the data in an event of the stream, 0: none does. */
static uint32_t find_version(const char* stream_id, uint32_t id, unsigned long long data, uint32_t likely) {
    if (likely && is_sent_by(likely, stream_id, id, data)) {
        return likely;
    }
    for (uint32_t version = 1; version <= VERSIONS_MAX; version++) {
        if (is_sent_by(version, stream_id, id, data)) {
            return version;
        }
    }
    return 0;
}

size_t soak_event_read(const char* text, const char* stream_id, uint32_t expected_id, soak_event_t* event) {
    char expected[160];
    unsigned long long data = 0;
    uint32_t likely_version = event->run.version;
    const char* end = strstr(text, EVENT_END);
    if (!end) {
        return 0;
    }
    size_t length = (size_t)(end - text) + strlen(EVENT_END);
    soak_event_t found = {0};
    sscanf(text, "id: %u\ndata: %llx %31s %u", &found.id, &data, found.run.name, &found.run.after);
    snprintf(expected, sizeof(expected), "id: %u\ndata: %016llx %s %u" EVENT_END, found.id, data, found.run.name,
             found.run.after);
    if (strlen(expected) == length && strncmp(text, expected, length) == 0) {
        found.run.version = find_version(stream_id, found.id, data, likely_version);
        *event = found;
    } else {
        *event = (soak_event_t){.id = expected_id, .run = {.name = "-"}};
    }
    return length;
}

static uint32_t bit(soak_check_t check) {
    return 1U << (uint32_t)check;
}

static uint32_t check_run(const soak_stream_t* stream, const soak_run_t* run, uint32_t from, bool is_resumable) {
    bool is_first = !stream->run.name[0];
    bool is_new = is_first || strcmp(stream->run.name, run->name) != 0;
    bool is_next = from == stream->last + 1; /* any other position is found by itself */
    uint32_t violations = 0;
    if (!run->version || (is_new && !is_first && !is_resumable) || (is_new && is_next && run->after + 1 != from)) {
        violations |= bit(SOAK_RUNS_JOINED);
    }
    if (run->version && stream->first_run.version && run->version != stream->first_run.version) {
        violations |= bit(SOAK_VERSIONS_MIXED);
    }
    return violations;
}

static uint32_t check_position(soak_stream_t* stream, uint32_t from, uint32_t to) {
    if (from == stream->last + 1) {
        return 0;
    }
    if (from > stream->last) { /* the events between may still arrive, out of order */
        uint32_t violations = stream->gap_from ? bit(SOAK_EVENT_MISSING) : 0;
        stream->gap_from = stream->last + 1;
        stream->gap_to = from - 1;
        return violations;
    }
    if (stream->gap_from && from >= stream->gap_from && to <= stream->gap_to) {
        bool is_filled = from == stream->gap_from && to == stream->gap_to;
        stream->gap_from = is_filled ? 0 : stream->gap_from;
        return bit(SOAK_OUT_OF_ORDER);
    }
    return bit(SOAK_EVENT_TWICE);
}

uint32_t soak_stream_add(soak_stream_t* stream, const soak_run_t* run, uint32_t from, uint32_t to, bool is_resumable) {
    uint32_t violations = check_run(stream, run, from, is_resumable) | check_position(stream, from, to);
    stream->last = to > stream->last ? to : stream->last;
    stream->run = *run;
    stream->first_run = stream->first_run.version ? stream->first_run : *run;
    return violations;
}

uint32_t soak_stream_end(const soak_stream_t* stream, uint32_t event_count, bool is_complete) {
    uint32_t violations = stream->gap_from ? bit(SOAK_EVENT_MISSING) : 0;
    if (is_complete && stream->last < event_count) {
        violations |= bit(SOAK_ENDED_EARLY);
    }
    return violations;
}
