#ifndef CW_DAEMON_NODE_H
#define CW_DAEMON_NODE_H
/*
    The modules of the chalkwayd process and their interfaces. All of them
    run on one event loop; functions prefixed with the name of a module are
    implemented in the file of that name.

        node.c       setup, clock, membership, routing of peer messages, graceful stop
        entry.c      HTTP requests of callers, from accept to last byte
        dispatch.c   slot requests, grants and upstream attempts (see entry_internal.h)
        suspects.c   quarantine of requests, and of parts of prompts, that crash upstreams
        lookup.c     responses to GET /v1/lookup
        allocator.c  slot allocation for the shards that this host owns
        sync.c       configuration: polls the platform and replicates documents to peers
        operator.c   operator API and metrics
*/
#include <ev.h>

#include "../chalkway_hist.h"
#include "../chalkway_limit.h"
#include "../chalkway_log.h"
#include "../chalkway_member.h"
#include "../chalkway_quarantine.h"
#include "../chalkway_rendezvous.h"
#include "../chalkway_request.h"
#include "../chalkway_runonce.h"
#include "../chalkway_settings.h"
#include "../chalkway_stop.h"
#include "../chalkway_store.h"
#include "../io/buffer.h"
#include "../io/client.h"
#include "../io/file_watch.h"
#include "../io/httpd.h"
#include "../io/peers.h"

#define NODE_MAX_HOSTS 1024
#define NODE_MAX_SHARDS 256
#define NODE_MAX_POOL 1024 /* upstreams in one pool */

typedef struct node_t node_t;
typedef struct entry_t entry_t;
typedef struct allocator_t allocator_t;
typedef struct sync_t sync_t;

/* How entries (hosts that accept requests) share the upstreams. All but the first are baselines for comparison. */
typedef enum node_policy_t {
    POLICY_SHARED = 0, /* one allocator per shard grants its slots to all entries */
    POLICY_SOLO,       /* each entry decides alone, from delayed load reports */
    POLICY_LEASE,      /* each entry decides alone, within an even share of the slots */
    POLICY_ROUND_ROBIN /* each entry decides alone, without limits */
} node_policy_t;

#define NODE_MAX_LISTED 2048

/* A machine in the platform's list of hosts. The list lags behind the actual state of the hosts. */
typedef struct listed_host_t {
    uint64_t id;    /* cw_name_id of its name, comparable with ids of members and upstreams */
    bool is_router; /* runs chalkwayd; otherwise an upstream */
    bool leaving;
} listed_host_t;

struct node_t {
    cw_settings_t settings;
    cw_file_watch_t settings_file;
    cw_log_t log;
    struct ev_loop* loop;
    uint64_t host;        /* id of this host */
    uint64_t hall;        /* id of the hall's name */
    uint64_t incarnation; /* random, drawn at start */
    node_policy_t policy;
    cw_httpd_t* http;
    cw_httpd_t* operator_http;
    cw_client_t* client;
    cw_peers_t* peers;
    cw_members_t* members;
    uint64_t notified_change_count; /* cw_members_change_count of the last notification to entry and allocator */
    cw_store_t* store;
    listed_host_t* listed_hosts; /* the platform's list of hosts, as last received */
    uint32_t listed_host_count;  /* 0: no list received yet */
    entry_t* entry;
    allocator_t* allocator;
    sync_t* sync;
    ev_timer tick;
    ev_signal on_term, on_int, on_hup;
    int64_t last_tick_ms;   /* time of the last tick; a long gap shows that the process was suspended */
    int64_t resumed_ms;     /* when the last suspension ended, 0: never suspended */
    bool is_view_stale;     /* resumed after a suspension and no gossip received since */
    cw_stop_t stop;         /* once it has begun, lookup responses no longer list this host */
    uint64_t aborted_count; /* requests still active when a graceful stop ended */
    int64_t exit_ms;        /* after a forced end, when the process exits even if responses are unsent; 0: not ended */
};

/* Milliseconds of the monotonic clock (CLOCK_MONOTONIC), which omits suspended time. */
int64_t node_now_ms(void);
/* Whether a graceful stop has begun. */
bool node_is_stopping(const node_t* node);
/* Whether the process may be forced to exit before the time at_ms. */
bool node_may_exit_before(const node_t* node, int64_t at_ms);
/* Writes the ids of hosts that are alive and not leaving, and returns their number. If there are none, lists all hosts
   that are not dead. */
uint32_t node_list_live_hosts(const node_t* node, uint64_t out[NODE_MAX_HOSTS]);
/* Returns the host that allocates the shard according to this host's view: by rendezvous hashing over the given live
   hosts, or this host itself unless the policy is POLICY_SHARED. */
uint64_t node_shard_owner(const node_t* node, uint64_t shard, const uint64_t* hosts, uint32_t count);
/* Returns this entry's even share of an upstream's slots. When there are fewer slots than entries, the entries of the
   lowest ranks by rendezvous hashing get one slot each. The shares of all entries never add up to more than the
   upstream's slots. */
uint32_t node_slot_share(const node_t* node, const cw_upstream_t* u, const uint64_t* hosts, uint32_t count);
/* Sends the message to a host. A message to this host itself is handled synchronously, before the call returns. */
cw_status_t node_send(node_t* node, uint64_t host, const cw_msg_t* msg);

/* The upstreams of a pool and the number of shards they are divided into. */
typedef struct pool_layout_t {
    uint64_t pool;
    uint32_t count, shard_count;
    uint64_t ids[NODE_MAX_POOL];
} pool_layout_t;

pool_layout_t node_pool_layout(const cw_snapshot_t* snapshot, const cw_pool_t* pool);
/* Writes the upstreams of a shard that have slots for this host, each with all its slots or, with own_share_only, with
   this host's even share of them. Returns their number, at most CW_PICK_MAX. */
uint32_t node_shard_specs(const node_t* node, const cw_snapshot_t* snapshot, const pool_layout_t* layout,
                          uint64_t shard, bool own_share_only, cw_pick_spec_t specs[CW_PICK_MAX]);
/* Whether an upstream is leaving, by its document or the platform's list of hosts. It then gets no new requests. */
bool node_is_upstream_leaving(const node_t* node, const cw_upstream_t* u);

/* -- entry.c -------------------------------------------------------------- */

typedef struct entry_stats_t {
    uint64_t requests, outcomes[CW_OUTCOME_COUNT], retries, resumed_streams, direct_grants, retries_joined;
    uint64_t quarantined; /* requests that were refused because of their content or a part of their prompt */
    uint32_t active;
} entry_stats_t;

entry_t* entry_setup(node_t* node);
void entry_shutdown(entry_t* entry);
void entry_on_request(cw_exchange_t* x, void* node);
void entry_on_caller_closed(cw_exchange_t* x, void* node);
/* The caller's output buffer is empty: resumes a paused upstream. */
void entry_on_drained(cw_exchange_t* x, void* node);
/* Handles a message from an allocator: grant, refusal, preemption, resync request or acknowledgement that a slot
   request is queued. */
void entry_on_action(entry_t* entry, uint64_t from, const cw_msg_t* msg);
/* Another host observed a crash, a trial or a response. */
void entry_on_observation(entry_t* entry, const cw_quarantine_observation_t* observation);
/* Writes the suspects of the quarantine as a JSON document. */
void entry_write_quarantine(entry_t* entry, cw_buffer_t* out);
/* An operator releases a suspect, named as in that document, at all hosts. False: there is no such suspect. */
bool entry_release_suspect(entry_t* entry, const char* fingerprint, const char* workspace);
/* Hosts or configuration have changed, and with them possibly the shards and their allocators. */
void entry_on_cluster_changed(entry_t* entry);
/* The connection to a peer was closed: messages in transit may be lost. */
void entry_on_peer_closed(entry_t* entry, uint64_t host);
/* The process resumed after a suspension: resends all pending slot requests. */
void entry_on_resume(entry_t* entry);
/* Answers all callers that wait, since the process exits now. */
void entry_end_all(entry_t* entry);
void entry_tick(entry_t* entry, int64_t now_ms);
entry_stats_t entry_stats(const entry_t* entry);
/* Share of unused request records, 0..100. */
uint32_t entry_free_capacity_percent(const entry_t* entry);
/* Request metrics in Prometheus text format; the caller of the function frees the text. */
char* entry_metrics(const entry_t* entry);
cw_runonce_t* entry_runonce(const entry_t* entry);

/* -- lookup.c ------------------------------------------------------------- */

void lookup_respond(node_t* node, cw_exchange_t* x);

/* -- allocator.c ---------------------------------------------------------- */

allocator_t* allocator_setup(node_t* node);
void allocator_shutdown(allocator_t* a);
void allocator_on_message(allocator_t* a, uint64_t from, const cw_msg_t* msg);
void allocator_on_cluster_changed(allocator_t* a);
void allocator_tick(allocator_t* a, int64_t now_ms);
uint32_t allocator_count(const allocator_t* a);
/* Statistics of the shard at the index, below allocator_count. */
cw_shard_stats_t allocator_stats(const allocator_t* a, uint32_t index, uint64_t* shard, uint64_t* pool);

/* -- sync.c --------------------------------------------------------------- */

sync_t* sync_setup(node_t* node);
void sync_shutdown(sync_t* s);
void sync_on_message(sync_t* s, uint64_t from, const cw_msg_t* msg);
/* A peer's gossip carried its configuration revision: pulls documents from the peer if the revision is newer. */
void sync_on_peer_revision(sync_t* s, uint64_t from, int64_t revision);
void sync_tick(sync_t* s, int64_t now_ms);
/* Whether a configuration has been received. */
bool sync_is_ready(const sync_t* s);
/* Whether this host polls the platform on behalf of its hall. */
bool sync_is_poller(const sync_t* s);
const char* sync_platform_state(const sync_t* s);
uint64_t sync_platform_calls(const sync_t* s);

/* -- operator.c ----------------------------------------------------------- */

void operator_on_request(cw_exchange_t* x, void* node);
void operator_on_caller_closed(cw_exchange_t* x, void* node);
/* Responds to long polls whose revision is outdated or whose wait time has passed. */
void operator_tick(node_t* node, int64_t now_ms);

/* -- node.c --------------------------------------------------------------- */

/* Starts all modules. Returns NULL and sets err when an address cannot be bound or libsodium fails to initialize. */
/* settings_path: file of the settings, read again when it changes and on SIGHUP; valid as long as the node. */
node_t* node_setup(const cw_settings_t* settings, const char* settings_path, cw_error_t* err);
/* Runs until a graceful stop is complete. Returns 1 when the stop aborted requests, else 0. */
int node_run(node_t* node);
void node_shutdown(node_t* node);

/* Responds with a JSON error of code, step, peer and message. Omits the header Chalkway-Outcome when outcome is 0, and
   Retry-After when retry_after_ms is 0. */
void reply_error(cw_exchange_t* x, unsigned status, cw_outcome_t outcome, const char* code, const char* step,
                 const char* peer, const char* message, uint32_t retry_after_ms);
/* Responds with a JSON text. */
void reply_json(cw_exchange_t* x, unsigned status, const char* text);

#endif
