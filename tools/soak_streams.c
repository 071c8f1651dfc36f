/* Checks the events of a stream in the order in which its caller got them. */
#include "soak_streams.h"

#include <string.h>

#include "soak.h"

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
