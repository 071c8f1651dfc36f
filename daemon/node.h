#ifndef CW_DAEMON_NODE_H
#define CW_DAEMON_NODE_H
/*
    The parts of one chalkwayd process and what they ask of each other.

        node.c       setup, clock, membership, peer messages, planned stop
        entry.c      callers' requests, from accept to last byte
        lookup.c     lookup answers
        allocator.c  shards that this host allocates
        sync.c       configuration: reading the platform, passing it on
        operator.c   operator API and metrics
*/
#include <ev.h>

#include "../chalkway_hist.h"
#include "../chalkway_limit.h"
#include "../chalkway_log.h"
#include "../chalkway_member.h"
#include "../chalkway_place.h"
#include "../chalkway_request.h"
#include "../chalkway_runonce.h"
#include "../chalkway_settings.h"
#include "../chalkway_stop.h"
#include "../chalkway_store.h"
#include "../io/client.h"
#include "../io/httpd.h"
#include "../io/peers.h"

#define NODE_MAX_HOSTS 1024
#define NODE_MAX_SHARDS 256
#define NODE_MAX_POOL 1024 /* upstreams of one pool */

typedef struct node_t node_t;
typedef struct entry_t entry_t;
typedef struct allocator_t allocator_t;
typedef struct sync_t sync_t;

/* How entries share the upstreams. All but the first are baselines to compare with. */
typedef enum node_policy_t {
    POLICY_SHARED = 0, /* one allocator for each shard */
    POLICY_SOLO,       /* each entry alone, with lagged load reports */
    POLICY_LEASE,      /* each entry alone, with its even part of the slots */
    POLICY_ROUND_ROBIN /* each entry alone, no limits */
} node_policy_t;

#define NODE_MAX_LISTED 2048

/* A machine in the platform's list of hosts, which lags. */
typedef struct listed_host_t {
    uint64_t id;    /* of its name, as in members or upstreams */
    bool is_router; /* runs a daemon, else an upstream */
    bool leaving;
} listed_host_t;

struct node_t {
    cw_settings_t settings;
    cw_log_t log;
    struct ev_loop* loop;
    uint64_t host;        /* own id */
    uint64_t hall;        /* id of the hall's name */
    uint64_t incarnation; /* random */
    node_policy_t policy;
    cw_httpd_t* http;
    cw_httpd_t* operator_http;
    cw_client_t* client;
    cw_peers_t* peers;
    cw_members_t* members;
    uint64_t notified_change_count; /* cw_members_changes that the parts were told of */
    cw_store_t* store;
    listed_host_t* listed_hosts; /* the platform's list as read last */
    uint32_t listed_host_count;  /* 0: none was read */
    entry_t* entry;
    allocator_t* allocator;
    sync_t* sync;
    ev_timer tick;
    ev_signal on_term, on_int;
    int64_t last_tick_ms;   /* of the last tick, to notice a pause */
    int64_t resumed_ms;     /* of the last long gap, 0: never */
    bool is_view_stale;     /* woke and has heard no peer since */
    cw_stop_t stop;         /* lookups don't name this host once it has begun */
    uint64_t aborted_count; /* requests that a planned stop cut */
};

/* Milliseconds on the monotonic clock. */
int64_t node_now_ms(void);
/* A planned stop has begun. */
bool node_is_stopping(const node_t* node);
/* Ids of hosts that may take roles; returns their number. */
uint32_t node_list_live_hosts(const node_t* node, uint64_t out[NODE_MAX_HOSTS]);
/* Host that allocates the shard in this host's view, among the live hosts given. */
uint64_t node_shard_owner(const node_t* node, uint64_t shard, const uint64_t* hosts, uint32_t count);
/* This entry's even part of an upstream's slots, or one of them by rank where there are fewer slots than entries. All
   entries together never exceed the upstream's slots. */
uint32_t node_slot_share(const node_t* node, const cw_upstream_t* u, const uint64_t* hosts, uint32_t count);
/* Sends to a host, or hands the message over directly when it is this one. */
cw_status_t node_send(node_t* node, uint64_t host, const cw_msg_t* msg);

/* The upstreams of a pool and how they are cut into shards. */
typedef struct pool_layout_t {
    uint64_t pool;
    uint32_t count, shard_count;
    uint64_t ids[NODE_MAX_POOL];
} pool_layout_t;

pool_layout_t node_pool_layout(const cw_view_t* view, const cw_pool_t* pool);
/* The upstreams of a shard that have slots for this host: all their slots, or only its even part of them. Returns their
   number, at most CW_PICK_MAX. */
uint32_t node_shard_specs(const node_t* node, const cw_view_t* view, const pool_layout_t* layout, uint64_t shard,
                          bool own_share_only, cw_pick_spec_t specs[CW_PICK_MAX]);
/* Whether an upstream gets new work: neither its document nor the host list says that it leaves. */
bool node_is_upstream_leaving(const node_t* node, const cw_upstream_t* u);

/* -- entry.c -------------------------------------------------------------- */

typedef struct entry_stats_t {
    uint64_t requests, outcomes[CW_OUTCOME_COUNT], retries, resumed_streams, direct_grants, retries_joined;
    uint32_t active;
} entry_stats_t;

entry_t* entry_setup(node_t* node);
void entry_shutdown(entry_t* entry);
void entry_on_request(cw_exchange_t* x, void* node);
void entry_on_caller_closed(cw_exchange_t* x, void* node);
void entry_on_drained(cw_exchange_t* x, void* node);
/* A grant, refusal, preemption, resync or sign of life from an allocator. */
void entry_on_action(entry_t* entry, uint64_t from, const cw_msg_t* msg);
/* Hosts or configuration changed: shards may have other allocators. */
void entry_on_cluster_changed(entry_t* entry);
/* The link to a host ended. */
void entry_on_peer_closed(entry_t* entry, uint64_t host);
/* The process was paused: ask again for what waits. */
void entry_on_resume(entry_t* entry);
void entry_tick(entry_t* entry, int64_t now_ms);
entry_stats_t entry_stats(const entry_t* entry);
uint32_t entry_free_capacity_percent(const entry_t* entry);
/* Callers' metrics in Prometheus text, to be freed. */
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
/* Statistics of shard number index. */
cw_shard_stats_t allocator_stats(const allocator_t* a, uint32_t index, uint64_t* shard, uint64_t* pool);

/* -- sync.c --------------------------------------------------------------- */

sync_t* sync_setup(node_t* node);
void sync_shutdown(sync_t* s);
void sync_on_message(sync_t* s, uint64_t from, const cw_msg_t* msg);
/* A peer's probe told its revision. */
void sync_on_peer_revision(sync_t* s, uint64_t from, int64_t revision);
void sync_tick(sync_t* s, int64_t now_ms);
/* Some configuration is there, or waiting for it has been long enough. */
bool sync_is_ready(const sync_t* s);
bool sync_is_poller(const sync_t* s);
const char* sync_platform_state(const sync_t* s);
uint64_t sync_platform_calls(const sync_t* s);

/* -- operator.c ----------------------------------------------------------- */

void operator_on_request(cw_exchange_t* x, void* node);
void operator_on_caller_closed(cw_exchange_t* x, void* node);
/* Answers long polls whose revision has changed or whose time is over. */
void operator_tick(node_t* node, int64_t now_ms);

/* -- node.c --------------------------------------------------------------- */

/* Starts all parts; NULL with err when an address cannot be had. */
node_t* node_setup(const cw_settings_t* settings, cw_error_t* err);
/* Runs until a planned stop is complete; returns the exit code. */
int node_run(node_t* node);
void node_shutdown(node_t* node);

/* Answers with a JSON error: code, step, peer, message; outcome and retry_after_ms may be 0. */
void reply_error(cw_exchange_t* x, unsigned status, cw_outcome_t outcome, const char* code, const char* step,
                 const char* peer, const char* message, uint32_t retry_after_ms);
/* Answers with a JSON text. */
void reply_json(cw_exchange_t* x, unsigned status, const char* text);

#endif
