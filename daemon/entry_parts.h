#ifndef CW_DAEMON_ENTRY_PARTS_H
#define CW_DAEMON_ENTRY_PARTS_H
/*
    What the parts of the entry role share.

        entry.c     accepts and classifies requests, run-once names, answers
        dispatch.c  wants, grants, direct mode, the transfer to the upstream
*/
#include "../chalkway_stream.h"
#include "../io/buffer.h"
#include "node.h"

#define ENTRY_MAX_SHARDS 256
#define ENTRY_MAX_ESTIMATES 512
#define ENTRY_MAX_METRICS 2048
#define ENTRY_NONE UINT32_MAX

/* A whole answer: of an upstream, or an error of this host. */
typedef struct response_t {
    unsigned status;
    cw_outcome_t outcome;
    char type[64];
    char code[32], step[CW_STEP_MAX], peer[CW_PEER_MAX], message[CW_MESSAGE_MAX]; /* errors */
    uint32_t retry_after_ms;
    cw_buffer_t body;
} response_t;

/* This entry's view of a shard. */
typedef struct entry_shard_t {
    uint64_t id, pool;
    uint64_t owner;
    bool is_current;               /* of the newest configuration; others only end what runs */
    uint64_t last_grant_id;        /* received last from the owner */
    uint32_t wait_ms;              /* as the owner said last */
    int64_t last_received_ms;      /* from the owner, 0: never */
    int64_t unresponsive_since_ms; /* since when it is silent, 0: it is not */
    int64_t next_digest_ms;        /* next digest */
    bool has_reported_grants;      /* the last digest was not empty */
    cw_pick_t* direct_pick;        /* this entry's own slice of the upstreams */
} entry_shard_t;

typedef struct estimate_t {
    uint64_t key; /* class and pool */
    cw_estimate_t cost, run_time_ms;
} estimate_t;

/* Counters of one workspace and class. */
typedef struct metric_t {
    char workspace[CW_NAME_MAX], class[CW_NAME_MAX];
    uint64_t outcomes[CW_OUTCOME_COUNT];
    uint64_t delivered_in_time;
    cw_hist_t total_ms, first_byte_ms;
} metric_t;

typedef struct request_t {
    bool is_used;
    entry_t* entry;
    cw_request_t machine;
    cw_exchange_t* x; /* NULL: the caller is gone or was answered */
    cw_view_t* view;  /* the configuration this request sees */
    const cw_workspace_t* workspace;
    const cw_class_t* class;
    const cw_pool_t* pool;
    metric_t* metric;
    estimate_t* estimate;
    char id[40];
    char path[256]; /* at the upstream */
    char method[16];
    char type[64]; /* of the body */
    char idempotency_key[CW_CALL_NAME_MAX];
    char* body;
    size_t body_size;
    uint64_t prefix;
    uint32_t cost, max_tokens;
    uint32_t runonce_record; /* in the run-once table, CW_RUN_NONE */
    uint32_t joined_record;  /* record of the running call this one waits for */
    bool wants_stream, is_streaming, is_answered;
    int64_t start_ms, deadline_ms, first_byte_ms;
    int64_t unacknowledged_since_ms; /* a want is unanswered since, 0: it was answered */
    int64_t next_resend_ms;          /* ask for a sign of life then */
    uint32_t seq;                    /* of the want or grant, 0: none */
    uint32_t shard;                  /* index in shards */
    uint32_t first_shard;            /* asked first */
    uint64_t grant;                  /* held, 0: none */
    uint64_t upstream;               /* of the grant */
    bool is_direct;                  /* the slot is of this entry's own slice */
    int64_t grant_expires_ms, sent_ms, slot_request_sent_ms;
    uint64_t exclude;
    cw_call_t* call;
    unsigned upstream_status;
    char upstream_type[64];
    cw_stream_t stream;        /* passed on to the caller */
    int64_t last_progress_ms;  /* the attempt's last sign of life */
    bool is_upstream_paused;   /* the upstream waits for a slow caller */
    cw_buffer_t partial_event; /* start of an event that has not come whole */
    response_t answer;
} request_t;

struct entry_t {
    node_t* node;
    request_t* requests;
    uint32_t max_requests;
    uint32_t* free_requests;
    uint32_t free_count;
    cw_map_t by_seq; /* want number -> request */
    cw_heap_t timers;
    ev_timer timer;
    uint32_t seq;
    uint32_t direct_epoch; /* high half of the ids of direct grants */
    uint32_t direct_seq;
    entry_shard_t shards[ENTRY_MAX_SHARDS];
    uint32_t shard_count;
    estimate_t* estimates;
    uint32_t estimate_count;
    metric_t* metrics;
    uint32_t metric_count;
    cw_map_t by_metric; /* mix(workspace, class) -> metric */
    cw_retry_budget_t retries;
    cw_runonce_t* runonce;
    entry_stats_t stats;
    cw_msg_t out;
    cw_held_t held_grants[CW_LIST_MAX];
};

/* -- entry.c -------------------------------------------------------------- */

/* Ends a request towards its caller by its outcome and answer, and frees what is not needed any more. */
void request_respond(request_t* r);
/* Frees the request; nothing of it may be outstanding. */
void request_free(request_t* r);
/* Sets the error that the caller is told if the request ends without an answer. */
void request_set_error(request_t* r, unsigned status, const char* code, const char* step, const char* peer,
                       const char* message, uint32_t retry_after_ms);

/* -- dispatch.c ----------------------------------------------------------- */

/* Feeds an event to the request's machine and does what it says. */
void request_event(request_t* r, cw_request_event_t event);
/* Sets the request's timer to the next thing that must happen. */
void request_arm(request_t* r);
void dispatch_setup(entry_t* e);
void dispatch_shutdown(entry_t* e);
/* Chooses the shard of the request's pool; ENTRY_NONE when the pool has no upstream. */
uint32_t dispatch_choose_shard(entry_t* e, const request_t* r);

#endif
