#ifndef CW_GATEWAY_MESH_H
#define CW_GATEWAY_MESH_H
/*
    The other daemons of the cluster: which are alive (chalkway_member.h over the peer address) and, by reporter.h,
   their load at the servers. All hosts of a cluster use the same ports.
*/
#include <netinet/in.h>

#include "../chalkway_log.h"
#include "../chalkway_member.h"
#include "reporter.h"
#include "settings.h"
#include "upstream.h"

typedef struct mesh_t mesh_t;

typedef struct mesh_desc_t {
    struct ev_loop* loop;
    const cw_log_t* log;
    const gateway_settings_t* settings;
    upstreams_t* upstreams;
    /* Returns the source state of this daemon, which goes out with every datagram of load reports. */
    cw_source_state_t (*source_state)(void* user_data);
    /* A peer's source state was received. share: address at which the peer serves its documents; is_remote: the peer is
       in another hall. */
    void (*on_source_state)(void* user_data, const char* share, bool is_remote, const cw_source_state_t* source_state);
    /* The membership changed. daemons: most daemons that were known at once; rank: of this one among those that are
       alive, 0 first. */
    void (*on_members)(void* user_data, uint32_t daemons, uint32_t rank);
    /* Observations about suspect requests, as in reporter_desc_t. */
    void (*on_observation)(void* user_data, const cw_quarantine_observation_t* observation);
    uint32_t (*observations)(void* user_data, uint32_t* at, cw_quarantine_observation_t* out, uint32_t max);
    /* Versions of streams, as in reporter_desc_t. */
    void (*on_stream_announced)(void* user_data, const cw_stream_record_t* record);
    bool (*on_stream_query)(void* user_data, uint64_t stream, uint64_t pool, cw_stream_record_t* record);
    void (*on_stream_inquiry)(void* user_data, const cw_stream_entry_t* inquiry, cw_stream_entry_t* reply);
    void (*on_stream_evidence)(void* user_data, uint64_t host, const cw_stream_entry_t* reply);
    /* The handover of what other hosts know. The first two: as of streams_is_handover_due and streams_next_handover;
       the others as in reporter_desc_t. May be NULL. */
    bool (*is_handover_due)(void* user_data);
    bool (*next_handover)(void* user_data, const uint64_t* candidates, uint32_t count, cw_handover_request_t* request);
    void (*write_page)(void* user_data, uint64_t cursor, cw_stream_message_t* message);
    void (*on_page)(void* user_data, const cw_stream_message_t* message);
    void* user_data;
} mesh_desc_t;

typedef struct mesh_stats_t {
    uint32_t known, live; /* hosts */
    reporter_stats_t reporter;
} mesh_stats_t;

mesh_t* mesh_setup(const mesh_desc_t* desc, cw_error_t* err);
void mesh_shutdown(mesh_t* m);
/* The load of this host at the server changed. work: the request that was just sent there; NULL: a request ended. */
void mesh_on_load(mesh_t* m, const server_t* server, const cw_work_t* work);
/* The server's liveness or advertised rate changed: reported to all hosts at once. */
void mesh_on_liveness(mesh_t* m, const server_t* server);
/* This host made observations: sent to all hosts at once. */
void mesh_on_observations(mesh_t* m, const cw_quarantine_observation_t* observations, uint32_t count);
/* Announces the versions of streams to all hosts, deposits one at a few, or queries some; see streams.h. */
void mesh_announce_streams(mesh_t* m, const cw_stream_record_t* records, uint32_t count);
void mesh_deposit_stream(mesh_t* m, const cw_stream_record_t* record);
uint32_t mesh_query_stream(mesh_t* m, uint64_t stream, uint64_t pool);
/* Inquires of all hosts what engines have of a stream, and adds them to the audience. */
void mesh_inquire_stream(mesh_t* m, const cw_stream_entry_t* inquiry, cw_stream_audience_t* audience);
/* Reports to the peers that the server has cached these prompt parts. */
void mesh_announce_cached(mesh_t* m, const server_t* server, const cw_prompt_part_t* parts, uint32_t count);
/* Whether this host owns the key, by rendezvous hashing over the hosts that are alive and not leaving. */
bool mesh_owns_key(const mesh_t* m, uint64_t key);
/* Fingerprint of these hosts: those that have the same one agree on who owns each key. */
uint64_t mesh_fleet_set(mesh_t* m);
/* Whether the membership has converged: no host was discovered for a time that grows with the number of known hosts,
   since gossip takes longer in a larger fleet. */
bool mesh_is_converged(const mesh_t* m, int64_t now_ms);
/* Sets the configuration revision and the free capacity (0..100) that gossip announces for this host. */
void mesh_announce(mesh_t* m, int64_t revision, uint32_t free_capacity);
/* Announces that this host is leaving: the others no longer return it in lookups. */
void mesh_leave(mesh_t* m);
/* Contacts the seeds that the settings name now, in place of the former ones. */
void mesh_update_seeds(mesh_t* m);
void mesh_tick(mesh_t* m, int64_t now_ms);
/* Announces the pools from which this host is cut off, as a set of cw_member_pool_bit. */
void mesh_set_unreachable_pools(mesh_t* m, uint32_t pools);
/* A host through which this one can reach servers of the pool: alive, not leaving, not cut off from the pool itself and
   none of the excluded ones. The first choice is in the own hall if possible; a hall may be cut off as a whole, so a
   further one (excluded_count above 0) is in any hall. The same key gives the same host while the hosts stay the
   same. NULL: there is none. */
const cw_member_info_t* mesh_choose_tunnel_host(const mesh_t* m, const char* pool, uint64_t key,
                                                const uint64_t* excluded, uint32_t excluded_count);
/* Whether a host that is not dead has this IP address. */
bool mesh_has_host_at(const mesh_t* m, const struct sockaddr_in* address);
/* Writes the addresses for callers of the hosts that are alive: only those of the hall if it has enough, else those of
   all halls. hall NULL: all halls. Returns their number. */
uint32_t mesh_caller_addresses(const mesh_t* m, const char* hall, bool includes_self, const char** out, uint32_t max);
mesh_stats_t mesh_stats(const mesh_t* m);

#endif
