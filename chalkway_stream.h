#ifndef CHALKWAY_STREAM_H
#define CHALKWAY_STREAM_H
/*
    chalkway_stream.h -- position in an engine's event stream

    WHAT IT IS
        Engines stream answers as server-sent events, one token each, and
        end with the event "[DONE]". This module says how many bytes of what
        has come form whole events, counts them, and notices the end. Only
        whole events are passed to the caller, so that a stream that is cut
        can be continued by the same or another engine at the next token
        with none lost and none doubled.

    HOW TO USE IT
        Keep the bytes that were not passed on yet; for each block:

            cw_stream_t stream = {0};
            append(pending, block);
            size_t whole = cw_stream_take(&stream, pending, size);
            pass_on(pending, whole);
            drop(pending, whole);

        When the stream is cut, drop what is pending and ask the next engine
        to begin at token stream.tokens.

    WHAT IT DOES NOT DO
        It does not look into the events. Events end with an empty line of
        "\n" alone, as engines send them; comments count as tokens, so the
        pools that may be resumed are declared by their operators.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

typedef struct cw_stream_t {
    uint32_t tokens; /* whole events so far, without the end event */
    bool ended;      /* the end event was seen */
} cw_stream_t;

/* Bytes at the start of data that form whole events; counts them. data begins at the start of an event. */
size_t cw_stream_take(cw_stream_t* stream, const char* data, size_t size);

#endif /* CHALKWAY_STREAM_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_STREAM_IMPL_INCLUDED
#define CHALKWAY_STREAM_IMPL_INCLUDED

#include <string.h>

static const char _cw_stream_end[] = "data: [DONE]\n\n";

size_t cw_stream_take(cw_stream_t* stream, const char* data, size_t size) {
    size_t begin = 0;
    for (size_t i = 1; i < size; i++) {
        if (data[i] != '\n' || data[i - 1] != '\n') {
            continue;
        }
        size_t length = i + 1 - begin;
        bool is_end = length == sizeof(_cw_stream_end) - 1 && memcmp(data + begin, _cw_stream_end, length) == 0;
        stream->ended = stream->ended || is_end;
        stream->tokens += is_end ? 0 : 1;
        begin = i + 1;
        i++; /* an event has at least one byte before its empty line */
    }
    return begin;
}

#endif /* CHALKWAY_STREAM_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
