#ifndef CW_GATEWAY_STREAMS_H
#define CW_GATEWAY_STREAMS_H
/*
    The software versions at which resumable streams began, so that a stream is resumed only at the version that began
    it, whichever host its caller connects to.

    A host records the streams that it carries, and deposits each record at a few other hosts, which are found by the
    stream's id: this host may be lost just before another version appears. While several versions serve in a pool, or
   its list of servers is not fresh, it announces each stream to the other hosts when the first event arrives, and all
   that it carries when that state begins. A host that is to resume a stream that it does not know queries some others.
   Unknown is not guessed: it resumes an unknown stream only if a single version has served for as long as streams last
    (chalkway_pool_versions.h), as it knows itself, another host vouches for, or the complete history of the source
   shows. A host that starts, or whose list was not fresh for a while, takes over the streams and versions that others
   know (chalkway_handover.h); what nobody knows remains unknown (chalkway_spans.h). After a loss of all hosts, engines
   that run the stream's request, or still cache its prompt and its events (chalkway_part_versions.h), show its version;
   the prompt alone does only if no engine of another version can have it, those that left the list included.
*/
#include "../chalkway_handover.h"
#include "../chalkway_log.h"
#include "../chalkway_part_versions.h"
#include "../chalkway_spans.h"
#include "../chalkway_stream_inquiry.h"
#include "../chalkway_stream_message.h"
#include "../chalkway_stream_registry.h"
#include "upstream.h"

typedef struct streams_t streams_t;

/* How the version of a stream that a caller resumes was found. */
typedef enum stream_source_t {
    STREAM_UNKNOWN = 0,  /* it was not */
    STREAM_RECORDED,     /* this host carried the stream, or received its record */
    STREAM_ONLY_VERSION, /* a single one has served */
    STREAM_ENGINES,      /* engines of a single one have run it */
    STREAM_SOURCE_COUNT
} stream_source_t;

/* The request by which a caller resumes a stream. */
typedef struct stream_request_t {
    const pool_t* pool;
    uint64_t stream;      /* streams_id, 0: unknown */
    uint64_t inquiry;     /* names the request in replies to inquiries, whether or not its stream is known */
    const char* id;       /* of the request, logged */
    const char* resumes;  /* id of the request that began the stream, logged */
    uint64_t part;        /* last part of its prompt; 0: unknown */
    uint32_t part_tokens; /* of this part */
    uint32_t events;      /* that the caller has received */
} stream_request_t;

typedef struct streams_desc_t {
    const cw_log_t* log;
    upstreams_t* upstreams;
    uint32_t capacity; /* streams that are recorded; default 16384 */
    uint64_t seed;     /* of the choice of the hosts that hand over what they know */
    /* Age, ms, of the list of servers: time since it was known to be current. */
    int64_t (*list_age_ms)(void* user_data);
    /* Announces streams to all other hosts: this process may end as soon as it returns. May be NULL. */
    void (*announce)(void* user_data, const cw_stream_record_t* records, uint32_t count);
    /* Sends the record to the few hosts that keep it for the others. May be NULL. */
    void (*deposit)(void* user_data, const cw_stream_record_t* record);
    /* Queries other hosts, among them those that keep the record. Returns their number. May be NULL. */
    uint32_t (*query)(void* user_data, uint64_t stream, uint64_t pool);
    /* Inquires of all other hosts what engines have of a stream (CW_STREAM_INQUIRY), and adds them to the audience.
       NULL: there are none. */
    void (*inquire)(void* user_data, const cw_stream_entry_t* inquiry, cw_stream_audience_t* audience);
    /* Fingerprint of the hosts that are alive: they divide the engines among them. NULL: 0. */
    uint64_t (*fleet_set)(void* user_data);
    /* Whether the engines that this host queries have listed what they cache. NULL: they have. */
    bool (*is_inventory_complete)(void* user_data);
    /* Number of versions of the pool's engines that are listed and could not be queried: 0, 1 or 2 (several); version:
       set if it is 1. NULL: 0. */
    uint32_t (*count_unlisted)(void* user_data, uint64_t pool, uint64_t* version);
    /* Reads the history of the source, unless that was done after since_ms; it is passed to streams_learn_listed and
       streams_on_history. True: it is being read. NULL: the source has none. */
    bool (*read_history)(void* user_data, int64_t since_ms);
    /* The stream's version has become known. */
    void (*on_resolved)(void* user_data, uint64_t stream);
    void* user_data;
} streams_desc_t;

typedef struct streams_stats_t {
    uint32_t known;                        /* streams recorded now */
    uint64_t announced, received, queried; /* records sent to and received from other hosts; queries for streams */
    uint64_t resumed[STREAM_SOURCE_COUNT]; /* streams that callers resumed */
    uint64_t evicted;
    uint64_t pages_sent, pages_received; /* of handovers */
    uint64_t list_gaps;                  /* times in which the list of servers was not known to be current */
    bool is_settled;                     /* the handover to this host */
} streams_stats_t;

const char* streams_source_name(stream_source_t source);
streams_t* streams_setup(const streams_desc_t* desc);
void streams_shutdown(streams_t* s);
/* Most hosts that were known at once, this one and those that have ended included. */
void streams_set_peak_hosts(streams_t* s, uint32_t hosts);
/* Longest time, ms, for which a stream may last. */
void streams_set_longest_ms(streams_t* s, uint32_t ms);
/* Id of the stream that this attempt of the workspace began; workspace 0: none. */
uint64_t streams_id(uint64_t workspace, const char* request_id);
/* The first event of a stream that this host carries has arrived, from a server of this version. */
void streams_on_first_event(streams_t* s, const pool_t* pool, uint64_t stream, uint64_t version, int64_t deadline_ms);
/* Id of the version at which the stream must be resumed; 0: unknown. */
uint64_t streams_resolve(streams_t* s, const stream_request_t* request);
/* Queries other hosts for an unknown stream. Returns how many, 0: there is none. */
uint32_t streams_query(streams_t* s, const stream_request_t* request);
/* Nobody that was queried knows the stream: asks the source and all hosts what remains of it. True: they may still
   reply, call it again. */
bool streams_inquire(streams_t* s, const stream_request_t* request, cw_stream_inquiry_t* inquiry);
/* The host's reply to the inquiry: an entry of CW_STREAM_EVIDENCE. */
void streams_on_evidence(cw_stream_inquiry_t* inquiry, uint64_t host, const cw_stream_entry_t* evidence);
/* The others have had their time to reply. As streams_resolve, or the version that the inquiry has found. */
uint64_t streams_resolve_unanswered(streams_t* s, const stream_request_t* request, const cw_stream_inquiry_t* inquiry);
/* Engines of this version cache these parts. */
void streams_on_cached_parts(streams_t* s, const pool_t* pool, uint64_t version, const cw_prompt_part_t* parts,
                             uint32_t count);
/* An engine of this version runs these requests. id: cw_name_id of the request's id; tokens: events that it has sent.
 */
void streams_on_runs(streams_t* s, const pool_t* pool, uint64_t version, const cw_prompt_part_t* runs, uint32_t count);
/* Whether this host and those that handed over to it may have started after streams that are still alive. */
bool streams_may_have_missed(const streams_t* s);
/* Another host inquires what engines have of a stream. evidence: the reply, an entry of CW_STREAM_EVIDENCE. */
void streams_on_inquiry(const streams_t* s, const cw_stream_entry_t* inquiry, cw_stream_entry_t* evidence);
/* The history of the source has this entry of a server. */
void streams_learn_listed(streams_t* s, const cw_server_t* entry);
/* The history was read, and each of its entries was learned. */
void streams_on_history(streams_t* s, source_coverage_t coverage);
/* A record was received from another host; version 0: it does not know the stream, and several versions have served. */
void streams_on_announced(streams_t* s, const cw_stream_record_t* record);
/* Another host queries a stream. False: there is nothing to reply. record: the reply. */
bool streams_on_query(streams_t* s, uint64_t stream, uint64_t pool, cw_stream_record_t* record);
void streams_tick(streams_t* s, int64_t now_ms);
/* Writes a page of the versions and streams that this host knows into a message: its head and its entries. */
void streams_write_page(streams_t* s, uint64_t cursor, cw_stream_message_t* message);
/* Whether this host knows as much as it can learn from others: before that, what is unknown may become known. */
bool streams_is_settled(const streams_t* s);
/* Whether the handover to this host has to decide something. */
bool streams_is_handover_due(const streams_t* s, int64_t now_ms);
/* The next request of this host's own handover. candidates: as of cw_handover_next. */
bool streams_next_handover(streams_t* s, int64_t now_ms, const uint64_t* candidates, uint32_t count,
                           cw_handover_request_t* request);
/* A page of another host was received. */
void streams_on_page(streams_t* s, const cw_stream_message_t* message);
streams_stats_t streams_stats(const streams_t* s);

#endif
