#ifndef CHALKWAY_TOKEN_STREAM_H
#define CHALKWAY_TOKEN_STREAM_H
/*
    chalkway_token_stream.h -- position in an engine's event stream

    WHAT IT IS
        Engines stream responses as server-sent events, one token each, and
        end them with the event "[DONE]". This module finds how many of the
        received bytes form complete events, counts the events, and detects
        the end of the stream. Only complete events are forwarded to the
        caller, so that the same or another engine can resume a broken
        stream at the next token, with none lost or duplicated.

    HOW TO USE IT
        Buffer the bytes that were not forwarded yet; for each block:

            cw_token_stream_t stream = {0};
            append(pending, block);
            size_t complete = cw_token_stream_take(&stream, pending, size);
            forward(pending, complete);
            remove(pending, complete);

        When the stream breaks, discard the pending bytes and ask the next
        engine to start at token stream.tokens.

    WHAT IT DOES NOT DO
        It does not parse the events. Only lines that end in "\n" alone are
        supported, as engines send them. Comments count as tokens, so
        operators declare which pools can resume streams.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

typedef struct cw_token_stream_t {
    uint32_t tokens; /* complete events so far, without the end event */
    bool ended;      /* the end event was received */
} cw_token_stream_t;

/* Counts the complete events at the start of data and returns their size in bytes. data begins at the start of an
   event. Nothing after the end event is taken. */
size_t cw_token_stream_take(cw_token_stream_t* stream, const char* data, size_t size);

#endif /* CHALKWAY_TOKEN_STREAM_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_TOKEN_STREAM_IMPL_INCLUDED
#define CHALKWAY_TOKEN_STREAM_IMPL_INCLUDED

#include <string.h>

static const char _cw_token_stream_end_event[] = "data: [DONE]\n\n";

size_t cw_token_stream_take(cw_token_stream_t* stream, const char* data, size_t size) {
    size_t begin = 0;
    for (size_t i = 1; i < size && !stream->ended; i++) {
        if (data[i] != '\n' || data[i - 1] != '\n') {
            continue;
        }
        size_t length = i + 1 - begin;
        bool is_end = length == sizeof(_cw_token_stream_end_event) - 1 &&
                      memcmp(data + begin, _cw_token_stream_end_event, length) == 0;
        stream->ended = is_end;
        stream->tokens += is_end ? 0 : 1;
        begin = i + 1;
        i++; /* an event has at least one byte before its empty line */
    }
    return begin;
}

#endif /* CHALKWAY_TOKEN_STREAM_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
