#ifndef CW_TOOLS_SOAK_STREAMS_H
#define CW_TOOLS_SOAK_STREAMS_H
/*
    Reads the events of a stream as fake-upstream sends them with --runs, and checks them in the order in which its
   caller got them, over all of the caller's requests for it. A run is one execution of a request by an upstream. A
   stream may go on with another run only if its kind is resumable, and only where that run began.
*/
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Which upstream's run sent an event. */
typedef struct soak_run_t {
    char name[32];
    uint32_t version; /* of the upstream's software; 0: no upstream sends this text in this stream */
    uint32_t after;   /* event after which the run began, 0: at the start */
} soak_run_t;

/* A complete event in the body of a stream. */
typedef struct soak_event_t {
    uint32_t id;
    soak_run_t run;
} soak_event_t;

/* Reads the event at the start of the text, in a stream that the request with this id began. Returns its length, 0:
   there is no complete one. Text up to a blank line that is no event counts as one with the expected id, of no version.
   event: the one before it on entry, which most events resemble. */
size_t soak_event_read(const char* text, const char* stream_id, uint32_t expected_id, soak_event_t* event);

typedef struct soak_stream_t {
    uint32_t last;             /* highest event so far */
    uint32_t gap_from, gap_to; /* events left out so far, gap_from 0: none */
    soak_run_t first_run, run;
} soak_stream_t;

/* Adds the events from..to of one run. Returns what they violate: the bit 1 << check of each soak_check_t. */
uint32_t soak_stream_add(soak_stream_t* stream, const soak_run_t* run, uint32_t from, uint32_t to, bool is_resumable);
/* Returns what the stream violates once its caller gets no more of it. is_complete: its response ended as complete. */
uint32_t soak_stream_end(const soak_stream_t* stream, uint32_t event_count, bool is_complete);

#endif
