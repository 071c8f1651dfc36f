#ifndef CW_GATEWAY_REPORTER_H
#define CW_GATEWAY_REPORTER_H
/*
    Load reports between daemons, as UDP datagrams (chalkway_load.h) on the load address. A report says what one host
    runs at one server, how the server performs for it and whether it answers; each datagram also carries the sender's
    source state. Which hosts get the reports, and how often, depends on the size of the fleet: see chalkway_relay.h.
*/
#include "../chalkway_handover.h"
#include "../chalkway_load.h"
#include "../chalkway_member.h"
#include "../chalkway_relay.h"
#include "../chalkway_stream_inquiry.h"
#include "../chalkway_stream_message.h"
#include "settings.h"
#include "upstream.h"

typedef struct reporter_t reporter_t;

typedef struct reporter_desc_t {
    struct ev_loop* loop;
    const gateway_settings_t* settings;
    upstreams_t* upstreams;
    uint64_t host; /* id of this host */
    /* Returns the source state of this daemon, which goes out with every datagram. */
    cw_source_state_t (*source_state)(void* user_data);
    /* A peer's source state was received. share: address at which the peer serves its documents; is_remote: the peer is
       in another hall. */
    void (*on_source_state)(void* user_data, const char* share, bool is_remote, const cw_source_state_t* source_state);
    /* An observation was received from another daemon; its age_ms is valid now. May be NULL. */
    void (*on_observation)(void* user_data, const cw_quarantine_observation_t* observation);
    /* Writes up to max observations that are to be repeated, from index *at on, and returns their number. Sets *at to
       the next index, 0 after the last observation. May be NULL. */
    uint32_t (*observations)(void* user_data, uint32_t* at, cw_quarantine_observation_t* out, uint32_t max);
    /* Another host announces the version of a stream, or queries it; see streams.h. Both may be NULL. */
    void (*on_stream_announced)(void* user_data, const cw_stream_record_t* record);
    bool (*on_stream_query)(void* user_data, uint64_t stream, uint64_t pool, cw_stream_record_t* record);
    /* Another host inquires what engines have of a stream (fills an entry of CW_STREAM_EVIDENCE), or replies to an
       inquiry of this host. Both may be NULL. */
    void (*on_stream_inquiry)(void* user_data, const cw_stream_entry_t* inquiry, cw_stream_entry_t* reply);
    void (*on_stream_evidence)(void* user_data, uint64_t host, const cw_stream_entry_t* reply);
    /* A host that has started requests a page of what this one knows, or a page was received. Both may be NULL. */
    void (*write_page)(void* user_data, uint64_t cursor, cw_stream_message_t* message);
    void (*on_page)(void* user_data, const cw_stream_message_t* message);
    void* user_data;
} reporter_desc_t;

typedef struct reporter_stats_t {
    uint64_t out, in, refused; /* datagrams sent, accepted and rejected */
    uint64_t forwarded;        /* entries and observations of other hosts that were forwarded */
    uint64_t unknown;          /* entries on servers, or incarnations of servers, that are not known here */
} reporter_stats_t;

/* This host among those that are alive. */
typedef struct reporter_position_t {
    uint32_t live;  /* number of hosts */
    uint32_t rank;  /* of this host, in an order that is the same for all */
    uint32_t older; /* number of hosts that started before this one */
} reporter_position_t;

reporter_t* reporter_setup(const reporter_desc_t* desc, cw_error_t* err);
void reporter_shutdown(reporter_t* n);
/* The membership changed. The members are read when the next datagram is sent, so they must stay valid until the next
   call. */
void reporter_set_members(reporter_t* n, const cw_members_t* members, const reporter_position_t* position);
/* A host joined: sends the observations now and the whole load with the next tick. */
void reporter_resend_all(reporter_t* n);
/* The load of this host at the server changed. work: the request that was just sent there; NULL: a request ended. */
void reporter_on_load(reporter_t* n, const server_t* server, const cw_work_t* work);
/* The server's liveness or advertised rate changed: reported at once. */
void reporter_on_liveness(reporter_t* n, const server_t* server);
/* Reports that the server has cached these prompt parts. */
void reporter_announce_cached(reporter_t* n, const server_t* server, const cw_prompt_part_t* parts, uint32_t count);
/* This host made observations: sent at once, and a second time a moment later. */
void reporter_on_observations(reporter_t* n, const cw_quarantine_observation_t* observations, uint32_t count);
/* Announces the versions of streams to all hosts, and a second time a moment later. The first datagrams have been sent
   when it returns. */
void reporter_announce_streams(reporter_t* n, const cw_stream_record_t* records, uint32_t count);
/* Sends the version of a stream to the few hosts that keep it. The datagrams have been sent when it returns. */
void reporter_deposit_stream(reporter_t* n, const cw_stream_record_t* record);
/* Queries some hosts for the version of a stream, among them those that keep it. Returns their number. */
uint32_t reporter_query_stream(reporter_t* n, uint64_t stream, uint64_t pool);
/* Inquires of all hosts what engines have of a stream, a moment later, and adds them to the audience. */
void reporter_inquire_stream(reporter_t* n, const cw_stream_entry_t* inquiry, cw_stream_audience_t* audience);
/* Requests a page of what the host knows. Its first page brings the observations and the leaving servers, too. */
void reporter_request_page(reporter_t* n, const cw_handover_request_t* request);
void reporter_tick(reporter_t* n, int64_t now_ms);
reporter_stats_t reporter_stats(const reporter_t* n);

#endif
