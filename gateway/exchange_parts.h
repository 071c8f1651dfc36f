#ifndef CW_GATEWAY_EXCHANGE_PARTS_H
#define CW_GATEWAY_EXCHANGE_PARTS_H
/*
    What the parts of an exchange share, each with one job: exchange.c owns a request's life, its clock and its final
    answer; seek.c finds it a server, or a place in the queue, or refuses it; transfer.c sends it and passes the answer
    on. Every change of a request's state goes through exchange_handle_event; the exchange may be gone after it, and
   after whatever calls it.
*/
#include "../chalkway_events.h"
#include "../chalkway_fingerprint.h"
#include "../chalkway_request.h"
#include "../chalkway_turn.h"
#include "exchange.h"

#define MS_PER_S 1000.0
#define US_PER_MS 1000.0
#define TRIED_SERVERS_MAX 8 /* servers that a request leaves out after they failed it */
#define ID_MAX 128
#define BLOCKED_REASON "servers ended under it" /* why a request is held back, in its answer too */

typedef struct exchange_t {
    exchanges_t* exchanges;
    caller_t* caller; /* NULL: gone, or its answer is complete */
    char id[ID_MAX];
    cw_fingerprint_t fingerprint; /* what it is, whatever its id */
    cw_catalog_t* catalog;
    const cw_route_t* route;
    const cw_tenant_t* workspace;
    pool_t* pool;
    cw_request_t fsm;
    cw_work_t work;
    cw_choice_t choice;   /* the last one that was tried */
    cw_verdict_t verdict; /* on what it is, at the last look for a server */
    uint32_t priority;
    int64_t arrived_ms, deadline_ms;
    cw_turn_wait_t wait; /* in the queue */
    bool is_queued;
    int64_t verdict_due_ms; /* whether it may be sent can't be said before, 0: it can */
    /* the transfer at hand */
    server_t* server;
    char server_id[CW_NAME_MAX];            /* of the last transfer, for the log */
    char fetch_from[CW_SERVER_ADDRESS_MAX]; /* of a server that keeps more of the prompt, "" none */
    upstream_conn_t* conn;
    cw_run_t run;
    int64_t sent_ms, stall_at_ms; /* stall_at_ms: tried elsewhere then, 0: never */
    double expected_ms;           /* forecast of the first event, from the last sending on */
    bool has_first_byte;
    bool is_server_error; /* the server's answer is a failure of its own */
    cw_try_result_t result;
    const char* reason; /* why the last transfer failed */
    /* over all transfers */
    uint64_t tried[TRIED_SERVERS_MAX];
    uint32_t tried_count;
    uint32_t attempt_count;
    bool has_reserved_retry; /* its next transfer is in the budget for repeats */
    uint32_t retry_ms;       /* refused: time until a place may be free */
    cw_buffer_t head_fields; /* of the answer's head, until it is passed on */
    cw_framing_t head_framing;
    uint64_t head_length;
    bool is_head_sent;
    bool is_resumable_stream; /* the stream may go on at another server */
    cw_events_t events;
    unsigned status;
    int64_t first_ms;         /* first byte passed on, 0: none */
    int64_t last_byte_ms;     /* latest byte passed on */
    uint32_t checked_at_wake; /* the wake at which it looked at the clock */
    uint32_t gap_ms;          /* longest pause between two of them */
    ev_timer timer;
    struct exchange_t* prev;
    struct exchange_t* next;
    struct exchange_t* next_queued;
} exchange_t;

struct exchanges_t {
    exchanges_desc_t desc;
    cw_catalog_t* catalog;
    exchange_t* list;
    exchange_t* queue; /* by cw_turn_before */
    bool is_refusing;
    uint64_t draws;
    uint32_t wake_count; /* times that the machine was suspended */
    int64_t setup_ms;
    exchanges_stats_t stats;
};

/* -- exchange.c ----------------------------------------------------------- */

/* Tells the machine what happened, and does what it asks for. */
void exchange_handle_event(exchange_t* x, cw_request_event_t e);
/* Sets the timer by what is due next. */
void exchange_set_timer(exchange_t* x);
/* The transfer at hand failed. */
void exchange_fail_attempt(exchange_t* x, cw_request_event_t e, cw_try_result_t result, const char* reason);

/* -- seek.c --------------------------------------------------------------- */

/* Takes the best server, or a place in the queue, or refuses. */
void exchange_assign_server(exchange_t* x);
/* Refuses a request that waits or has just come, with the inputs of the last choice that was tried for it. */
void exchange_refuse(exchange_t* x, const char* why);
/* Whether servers end under what the request is: it is answered, or waits until that can be said. */
bool exchange_check_quarantine(exchange_t* x);
void exchange_dequeue(exchange_t* x);
/* A request that waits can hardly be in time any more: it goes behind those that can. It may be gone afterwards. */
void exchange_requeue_overdue(exchange_t* x);

/* -- transfer.c ----------------------------------------------------------- */

/* Begins a transfer to the server of the last choice. */
void exchange_start_attempt(exchange_t* x);
/* Begins the answer to the caller, if that has not been done. */
void exchange_send_head(exchange_t* x, caller_t* caller);
/* Whether the request may be sent again after a failure. */
bool exchange_may_retry(const exchange_t* x);

#endif
