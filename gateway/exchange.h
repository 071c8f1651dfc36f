#ifndef CW_GATEWAY_EXCHANGE_H
#define CW_GATEWAY_EXCHANGE_H
/*
    Requests from a caller to a server and back. What may be promised and repeated is decided by chalkway_request.h, the
    server by chalkway_balance.h; here the two meet the connections.
*/
#include "../chalkway_catalog.h"
#include "front.h"
#include "quarantine.h"
#include "upstream.h"

typedef struct exchanges_t exchanges_t;

typedef enum exchange_outcome_t {
    EXCHANGE_SERVED = 0, /* a server's whole answer */
    EXCHANGE_DENIED,     /* not allowed: 400, 401, 404 */
    EXCHANGE_REFUSED,    /* not run: 503 */
    EXCHANGE_FAILED,     /* may have run: 502, 504 or a cut answer */
    EXCHANGE_GONE,       /* the caller left */
    EXCHANGE_OUTCOME_COUNT
} exchange_outcome_t;

typedef struct exchanges_desc_t {
    struct ev_loop* loop;
    const cw_log_t* log;
    const dialect_t* dialect;
    upstreams_t* upstreams;
    quarantine_t* quarantine; /* must outlive the exchanges */
    uint64_t seed;
    uint32_t startup_grace_ms; /* without a configuration for longer, the source is taken to be away; default 500 */
    /* A request was sent to or ended at a server: others should hear of it. */
    void (*on_load)(void* user_data, const server_t* server, const cw_work_t* work);
    /* A connection to the server failed, or a server that others suspect lives: they are to hear of it at once. */
    void (*on_life)(void* user_data, const server_t* server);
    /* A request has ended; may be NULL. */
    void (*on_done)(void* user_data, const char* route, const char* workspace, exchange_outcome_t outcome,
                    uint32_t first_ms, uint32_t took_ms);
    void* user_data;
} exchanges_desc_t;

typedef struct exchanges_stats_t {
    uint32_t active, waiting;
    uint64_t outcomes[EXCHANGE_OUTCOME_COUNT], sends, repeats, resumed;
} exchanges_stats_t;

exchanges_t* exchanges_setup(const exchanges_desc_t* desc);
void exchanges_shutdown(exchanges_t* e);
/* The configuration for requests that come from now on; NULL: none is known. */
void exchanges_set_catalog(exchanges_t* e, cw_catalog_t* catalog);
void exchanges_on_request(exchanges_t* e, caller_t* caller);
void exchanges_on_gone(exchanges_t* e, caller_t* caller);
void exchanges_on_drained(exchanges_t* e, caller_t* caller);
/* A place may have come free in the pool: requests that wait are tried again. */
void exchanges_on_room(exchanges_t* e, pool_t* pool);
/* The request is held from now on: what waits or runs of it is given up. */
void exchanges_on_held(exchanges_t* e, const cw_fingerprint_t* request);
/* The machine was suspended: the loop's timers are behind, and what is over is ended now. */
void exchanges_on_wake(exchanges_t* e);
/* Refuses what has not been sent and what comes from now on: this process ends soon. */
void exchanges_refuse_new(exchanges_t* e);
exchanges_stats_t exchanges_stats(const exchanges_t* e);

#endif
