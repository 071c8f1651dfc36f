#ifndef CW_GATEWAY_STREAMS_H
#define CW_GATEWAY_STREAMS_H
/*
    The software versions at which resumable streams began, so that a stream is resumed only at the version that began
   it, whichever host its caller asks.

    A host records the streams that it carries. While several versions serve in a pool, or its list of servers is not
    fresh, it tells the other hosts of each stream when the first event arrives, and of all that it carries when that
    state begins. A host that is asked to resume a stream that it doesn't know asks some others. Unknown is not guessed:
    it resumes an unknown stream only if a single version has served for as long as streams last
    (chalkway_pool_versions.h), as it knows itself or another host vouches for.
*/
#include "../chalkway_log.h"
#include "../chalkway_stream_registry.h"
#include "upstream.h"

typedef struct streams_t streams_t;

/* How the version of a stream that is taken up was found. */
typedef enum stream_source_t {
    STREAM_UNKNOWN = 0,  /* it was not */
    STREAM_RECORDED,     /* this host carried the stream, or was told */
    STREAM_ONLY_VERSION, /* a single one has served */
    STREAM_LAST_RESORT,  /* the same, as far as a host that has just started can know */
    STREAM_SOURCE_COUNT
} stream_source_t;

/* The request that takes up a stream. */
typedef struct stream_request_t {
    const pool_t* pool;
    uint64_t stream;     /* streams_id, 0: unknown */
    const char* id;      /* of the request, logged */
    const char* resumes; /* id of the request that began the stream, logged */
} stream_request_t;

typedef struct streams_desc_t {
    const cw_log_t* log;
    upstreams_t* upstreams;
    uint32_t capacity; /* streams that are recorded; default 16384 */
    /* Age, ms, of the list of servers: time since it was known to be current. */
    int64_t (*list_age_ms)(void* user_data);
    /* Tells all other hosts. May be NULL. */
    void (*tell)(void* user_data, const cw_stream_record_t* record);
    /* Asks other hosts for the stream. Returns their number. May be NULL. */
    uint32_t (*ask)(void* user_data, uint64_t stream, uint64_t pool);
    /* The stream's version has become known. */
    void (*on_resolved)(void* user_data, uint64_t stream);
    void* user_data;
} streams_desc_t;

typedef struct streams_stats_t {
    uint32_t known;                         /* streams recorded now */
    uint64_t told, heard, asked;            /* records sent to and received from other hosts; streams asked for */
    uint64_t taken_up[STREAM_SOURCE_COUNT]; /* streams taken up */
    uint64_t evicted;
} streams_stats_t;

streams_t* streams_setup(const streams_desc_t* desc);
void streams_shutdown(streams_t* s);
/* Longest time, ms, for which a stream may last. */
void streams_set_longest_ms(streams_t* s, uint32_t ms);
/* Id of the stream that this attempt of the workspace began; workspace 0: none. */
uint64_t streams_id(uint64_t workspace, const char* request_id);
/* The first event of a stream that this host carries has arrived, from a server of this version. */
void streams_on_first_event(streams_t* s, const pool_t* pool, uint64_t stream, uint64_t version, int64_t expires_ms);
/* Id of the version at which the stream must be resumed; 0: unknown. */
uint64_t streams_resolve(streams_t* s, const stream_request_t* request);
/* Asks other hosts for an unknown stream. Returns how many, 0: nobody can be asked. */
uint32_t streams_ask(streams_t* s, const stream_request_t* request);
/* The others have had their time to reply. As streams_resolve; also the only listed version, if no host that could know
   replied: then all have just started. */
uint64_t streams_resolve_unanswered(streams_t* s, const stream_request_t* request);
/* Another host tells the version of a stream; 0: it doesn't know it, and several versions have served. */
void streams_on_told(streams_t* s, const cw_stream_record_t* record);
/* Another host asks for a stream. False: this host knows nothing. record: the reply. */
bool streams_on_asked(streams_t* s, uint64_t stream, uint64_t pool, cw_stream_record_t* record);
void streams_tick(streams_t* s, int64_t now_ms);
streams_stats_t streams_stats(const streams_t* s);

#endif
