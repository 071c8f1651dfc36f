#ifndef CW_GATEWAY_STREAMS_INTERNAL_H
#define CW_GATEWAY_STREAMS_INTERNAL_H
/*
    What the files streams*.c share: streams.c records streams and the versions that serve, streams_evidence.c finds the
   version of a stream that nobody remembers, streams_handover.c passes on what is known to hosts that start.
*/
#include "streams.h"

/* Servers of a version that has left the list may begin streams for so long, at hosts whose list is late. */
#define LIST_LATENESS_MS 5000
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

pool_t* streams_find_pool(const streams_t* s, uint64_t id);
/* A version that has served in a pool, which may not be declared yet. Without room for it, this host doesn't know what
   has served. */
void streams_learn_version(streams_t* s, int64_t now_ms, const pending_version_t* v);
bool streams_is_list_fresh(const streams_t* s);
/* Finds the gaps between lists. Before the first list, versions may have served streams and gone that this host has
   never seen. */
void streams_check_list(streams_t* s, int64_t now_ms);
/* For how long this host knows the versions that have served. */
int64_t streams_known_ms(const streams_t* s, int64_t now_ms);
/* Whether this host, or one that handed over to it, has lived for longer than streams last. */
bool streams_has_long_memory(const streams_t* s, int64_t now_ms);
/* Whether this host knows each version that a live stream can have. */
bool streams_has_full_memory(const streams_t* s, int64_t now_ms);
/* Whether this host itself was there when each stream that is still alive was announced. What others handed over may
   lack records: each host that kept one may have ended. Nor is a record there that found no room. */
bool streams_has_heard_all(streams_t* s, int64_t now_ms);
/* Logs on what the version of a stream rests, or why it stays unknown. */
void streams_log_inquiry(const streams_t* s, const stream_request_t* request, const cw_stream_inquiry_t* q);

#endif
