#ifndef CW_GATEWAY_EXCHANGE_INTERNAL_H
#define CW_GATEWAY_EXCHANGE_INTERNAL_H
/*
    Internal interface between the parts of an exchange. exchange.c owns the lifetime of a request, its timer and its
    final response. exchange_assign.c assigns a server, queues the request or refuses it. exchange_attempt.c sends the
    request and forwards the response. Every state change goes through exchange_handle_event. That function may free the
    exchange, and so may every function that calls it.
*/
#include "../chalkway_fingerprint.h"
#include "../chalkway_queue_order.h"
#include "../chalkway_request.h"
#include "../chalkway_sse.h"
#include "exchange.h"
#include "request_head.h"

#define MS_PER_S 1000.0
#define US_PER_MS 1000.0
#define TRIED_SERVERS_MAX 8 /* servers that failed a request and are excluded from its retries */
/* A server that has written a response for this long survived its start: crashes followed a response's head by 45 to
   190 ms. */
#define START_MS 300
#define QUARANTINED_REASON "servers ended under it" /* sent to the caller of a quarantined request */
#define ON_TRIAL_REASON "a part of its prompt is on trial"

typedef struct exchange_t {
    exchanges_t* exchanges;
    caller_t* caller;                 /* NULL: the caller has closed its connection, or its response is complete */
    char* request_id;                 /* as servers get it and send it back */
    char id[REQUEST_ID_LOG_MAX];      /* the same for log lines, cut off; never empty */
    char resumes[REQUEST_ID_LOG_MAX]; /* the caller's attempt that began the stream it resumes, cut off; "": none */
    cw_suspects_t suspects; /* its content, which identifies the request whatever its id, and parts of its prompt */
    cw_catalog_t* catalog;
    const cw_route_t* route;
    const cw_catalog_workspace_t* workspace;
    pool_t* pool;
    cw_request_t fsm;
    cw_work_t work;
    cw_choice_t choice;   /* result of the last choice of a server */
    bool has_replacement; /* choice holds the server of the next attempt */
    cw_verdict_t verdict; /* quarantine verdict at the last attempt to assign a server */
    uint32_t priority;
    int64_t arrived_ms, deadline_ms;
    cw_queue_wait_t wait; /* while queued: when it becomes late and when it is refused */
    bool is_queued;
    bool is_resumed_by_caller; /* the caller resumes a stream */
    uint64_t stream;           /* of a resumable route: id of the stream, begun or resumed (streams_id); 0: unknown */
    int64_t stream_due_ms;     /* its version is unknown, and other hosts may reply until then; 0: none was queried */
    request_run_t stream_run;  /* of a stream that the caller resumes */
    uint64_t stream_inquiry_id;
    cw_stream_inquiry_t stream_inquiry;
    bool is_version_bound;  /* the first event has arrived */
    int64_t verdict_due_ms; /* the quarantine verdict is undecided until then; 0: decided */
    /* current attempt */
    server_t* server;
    uint64_t server_version;                /* of its software, when the attempt began */
    char server_id[CW_NAME_MAX];            /* server of the last attempt; logged when the request ends */
    char fetch_from[CW_SERVER_ADDRESS_MAX]; /* address of a server with more of the prompt in its cache; "": none */
    upstream_conn_t* conn;
    cw_run_t run;
    int64_t sent_ms;
    int64_t progress_ms;  /* when the attempt was sent, or when its response last progressed */
    int64_t stall_at_ms;  /* without progress by then, another server is sought; 0: never */
    int64_t stall_due_ms; /* the same, however often that was put off */
    bool is_stalled;      /* another server is sought */
    double expected_ms;   /* predicted time from arrival to the first event, set by each attempt */
    bool has_first_byte;
    int64_t attempt_first_ms;      /* time of the first body byte of this attempt; valid with has_first_byte */
    bool has_survived_start;       /* the server still sends START_MS after it */
    cw_framing_t response_framing; /* of the server's response; CW_FRAMING_NONE before its head */
    bool is_event_stream;          /* the response is a stream of server-sent events */
    bool is_tunneled;              /* the response came through another host */
    bool is_server_error;          /* the response reports a failure of the server (status 500 or higher) */
    cw_try_result_t result;
    const char* reason; /* why the last attempt failed */
    /* all attempts */
    uint64_t tried[TRIED_SERVERS_MAX];
    uint32_t tried_count;
    uint32_t silent_tried;   /* of these, as a set of bits, servers that were left because they were silent */
    bool returns_to_silent;  /* the next attempt may only use one of silent_tried */
    uint32_t attempt_count;  /* attempts whose request was sent */
    bool has_reserved_retry; /* the retry budget has already granted the next attempt */
    uint32_t retry_ms;       /* of a refused request: time until a slot may be free */
    cw_buffer_t head_fields; /* response head, stored until it is sent to the caller */
    cw_framing_t head_framing;
    uint64_t head_length;
    bool is_head_sent;
    size_t discarded_bytes;   /* of the response, since its caller left */
    bool is_resumable_stream; /* another server can resume the event stream, after each event with an id */
    cw_sse_t events;
    unsigned status;
    int64_t first_ms;           /* time of the first byte sent to the caller; 0: none */
    int64_t last_byte_ms;       /* time of the last byte sent to the caller */
    uint32_t checked_at_resume; /* resume_count when the exchange's deadlines were last checked */
    uint32_t checked_at_slot;   /* slot_free_count when another server was last sought */
    uint32_t checked_at_change; /* verdict_change_count when the exchange's verdict was last checked */
    uint32_t gap_ms;            /* longest time between two body writes to the caller */
    ev_timer timer;
    struct exchange_t* prev;
    struct exchange_t* next;
    struct exchange_t* next_queued;
} exchange_t;

struct exchanges_t {
    exchanges_desc_t desc;
    cw_catalog_t* catalog;
    exchange_t* list;
    exchange_t* queue; /* ordered by cw_queue_precedes */
    bool is_refusing;
    int64_t exit_ms; /* when this process exits, 0: not known */
    bool is_ending;  /* no server is assigned any more */
    uint64_t random_count;
    uint32_t resume_count;         /* times that the host resumed from suspend */
    uint32_t verdict_change_count; /* calls of exchanges_on_verdicts_changed */
    uint32_t slot_free_count;      /* calls of exchanges_on_slot_free */
    int64_t setup_ms;
    exchanges_stats_t stats;
};

/* -- exchange.c ----------------------------------------------------------- */

/* Passes an event to the request's state machine and performs the actions that it returns. */
void exchange_handle_event(exchange_t* x, cw_request_event_t e);
/* Sets the timer to the earliest deadline. */
void exchange_set_timer(exchange_t* x);
/* Ends the current attempt as failed, with the event for the state machine and the result for the balancer. */
void exchange_fail_attempt(exchange_t* x, cw_request_event_t e, cw_try_result_t result, const char* reason);

/* For the log: "yes" if the caller has the head of the response, so that an error can only break it off. */
const char* exchange_begun_name(const exchange_t* x);

/* -- exchange_assign.c --------------------------------------------------------------- */

/* Assigns the best server, queues the request, or refuses it. */
void exchange_assign_server(exchange_t* x);
/* Chooses the server of the next attempt while the current one still runs. excludes_silent: not one that has been
   silent for long itself. False: none can be assigned now. */
bool exchange_find_replacement(exchange_t* x, bool excludes_silent);
/* Whether the request may have run, so that a refusal could not say that it has not. */
bool exchange_may_have_run(const exchange_t* x);
/* Refuses a request that is queued or has just arrived, and logs the inputs of the last choice of a server. */
void exchange_refuse(exchange_t* x, const char* why);
/* Checks the request against the quarantine. True: it is quarantined and was refused, or it waits for a verdict. */
bool exchange_check_quarantine(exchange_t* x);
void exchange_dequeue(exchange_t* x);
/* The queued request can hardly meet its target any more: moves it behind those that still can. May free it. */
void exchange_requeue_late(exchange_t* x);

/* -- exchange_attempt.c ----------------------------------------------------------- */

/* Starts an attempt at the server of the last choice. */
void exchange_start_attempt(exchange_t* x);
/* Sends the response head to the caller unless it has been sent. */
void exchange_send_head(exchange_t* x, caller_t* caller);
/* The server of this attempt did not fail the request, so a retry may choose it again. */
void exchange_keep_server_eligible(exchange_t* x);
/* How far the response to the current attempt has got. */
cw_run_phase_t exchange_phase(const exchange_t* x);
/* Reports to the quarantine that the response has been written for a while. */
void exchange_report_survival(const exchange_t* x);
/* Whether the request may be retried after a failure. */
bool exchange_may_retry(const exchange_t* x);
/* The attempt has made no progress for too long: ends it if another server can be assigned now. */
void exchange_on_stall(exchange_t* x);
/* Whether, since the server was assigned, the request was quarantined or a part of its prompt was put on trial. */
bool exchange_is_verdict_outdated(const exchange_t* x);

#endif
