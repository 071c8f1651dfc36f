#ifndef CW_GATEWAY_EXCHANGE_H
#define CW_GATEWAY_EXCHANGE_H
/*
    Request/response exchanges between callers and servers. chalkway_request.h decides what may be retried and which
    outcome may be reported, chalkway_balance.h chooses the server. This module connects both to the caller's and the
    server's connection.
*/
#include "../chalkway_catalog.h"
#include "frontend.h"
#include "quarantine.h"
#include "streams.h"
#include "upstream.h"

typedef struct exchanges_t exchanges_t;

typedef enum exchange_outcome_t {
    EXCHANGE_SERVED = 0, /* the complete response of a server */
    EXCHANGE_DENIED,     /* not allowed: status 400, 401 or 404 */
    EXCHANGE_REFUSED,    /* did not run: status 503 */
    EXCHANGE_FAILED,     /* may have run: status 502 or 504, or a truncated response */
    EXCHANGE_CANCELLED,  /* the caller closed its connection */
    EXCHANGE_OUTCOME_COUNT
} exchange_outcome_t;

typedef struct exchanges_desc_t {
    struct ev_loop* loop;
    const cw_log_t* log;
    const dialect_t* dialect;
    upstreams_t* upstreams;
    quarantine_t* quarantine; /* must outlive the exchanges */
    streams_t* streams;       /* must outlive the exchanges */
    uint64_t seed;
    uint32_t startup_grace_ms; /* without a configuration for longer, the source counts as unavailable; default 500 */
    /* An attempt at the server began (work set) or ended (work NULL); other hosts need the new load. */
    void (*on_load_changed)(void* user_data, const server_t* server, const cw_work_t* work);
    /* A connection to the server failed, or a server that other hosts suspect has responded; notify them at once. */
    void (*on_liveness_changed)(void* user_data, const server_t* server);
    /* The request has ended. May be NULL. */
    void (*on_done)(void* user_data, const char* route, const char* workspace, exchange_outcome_t outcome,
                    uint32_t first_ms, uint32_t took_ms);
    void* user_data;
} exchanges_desc_t;

typedef struct exchanges_stats_t {
    uint32_t active, waiting;
    uint64_t outcomes[EXCHANGE_OUTCOME_COUNT], sends, retries_sent, streams_resumed;
    uint64_t responses_unframed; /* responses with neither a length nor chunks */
} exchanges_stats_t;

exchanges_t* exchanges_setup(const exchanges_desc_t* desc);
/* Callers that still wait get no answer; call exchanges_end_all first. */
void exchanges_shutdown(exchanges_t* e);
/* Sets the configuration for requests that arrive from now on. NULL: none is known. */
void exchanges_set_catalog(exchanges_t* e, cw_catalog_t* catalog);
void exchanges_on_request(exchanges_t* e, caller_t* caller);
void exchanges_on_caller_closed(exchanges_t* e, caller_t* caller);
/* This host has lost the path to all servers of the pool. If the path is silent, requests that may be retried are sent
   again in another way, unless their server has sent something since. */
void exchanges_on_pool_cut(exchanges_t* e, const pool_t* pool);
void exchanges_on_drained(exchanges_t* e, caller_t* caller);
/* A slot may be free in the pool: tries to assign servers to queued requests. */
void exchanges_on_slot_free(exchanges_t* e, pool_t* pool);
/* Verdicts of the quarantine may have changed: ends the queued and running exchanges that are quarantined now. */
void exchanges_on_verdicts_changed(exchanges_t* e);
/* Another host says what its engines have of a stream: an entry of CW_STREAM_EVIDENCE. */
void exchanges_on_stream_evidence(exchanges_t* e, uint64_t host, const cw_stream_entry_t* reply);
/* The version of this stream has become known: resumes it for the callers that wait. */
void exchanges_on_stream_resolved(exchanges_t* e, uint64_t stream);
/* The host resumed from suspend, so the event loop's timers are late: handles every deadline that has passed. */
void exchanges_on_resume(exchanges_t* e);
/* This process stops and exits at exit_ms. Refuses requests that arrive from now on, may not be repeated, and may take
   until then: the end of the process would leave their callers without knowing whether they ran. */
void exchanges_set_exit_time(exchanges_t* e, int64_t exit_ms);
/* Refuses all requests that arrive from now on, and those that are queued and have not run, because this process is
   about to exit. Others may still be retried. */
void exchanges_refuse_new(exchanges_t* e);
/* Answers all callers that wait, since this process exits now: responses that have begun are broken off, between two
   events if they are streams that can be resumed. Requests that arrive later are not assigned to a server. */
void exchanges_end_all(exchanges_t* e);
exchanges_stats_t exchanges_stats(const exchanges_t* e);

#endif
