#ifndef CW_TOOLS_SOAK_PUSHBACK_H
#define CW_TOOLS_SOAK_PUSHBACK_H
/*
    Checks whether the hosts of a soak comply with server pushback, which upstreams state in response heads: an
    advertised rate for all hosts together, a backoff for one host, and no new requests to a leaving upstream.
*/
#include <stdbool.h>
#include <stdint.h>

#define SOAK_PUSHBACK_RATE_GRACE_MS 3000     /* from advertising a rate until the hosts must comply */
#define SOAK_PUSHBACK_WINDOW_MS 4000         /* window in which requests are counted against the rate */
#define SOAK_PUSHBACK_REACTION_MS 500        /* from a response until its host must comply */
#define SOAK_PUSHBACK_BACKOFF_ARRIVALS_MAX 2 /* requests tolerated in a backoff after the reaction time */

/* Arrival of a request at an upstream. server: hash of the upstream's name and incarnation. */
typedef struct soak_arrival_t {
    int64_t at_ms, sent_ms; /* times of the arrival at the upstream and of sending by the caller */
    uint64_t server, host;
    bool is_excused; /* a fault hit the host or the upstream shortly before */
} soak_arrival_t;

typedef enum soak_pushback_kind_t {
    SOAK_PUSHBACK_RATE = 0,
    SOAK_PUSHBACK_BACKOFF,
    SOAK_PUSHBACK_LEAVING
} soak_pushback_kind_t;

/* Server pushback in the head of a response to a host. */
typedef struct soak_pushback_signal_t {
    soak_pushback_kind_t kind;
    int64_t at_ms;
    uint64_t server, host;
    uint32_t backoff_ms;
} soak_pushback_signal_t;

/* Rate advertised by an upstream, valid from from_ms until until_ms (0: to the end). */
typedef struct soak_rate_t {
    uint64_t server;
    double per_s;
    int64_t from_ms, until_ms;
} soak_rate_t;

typedef struct soak_pushback_t soak_pushback_t;
typedef void (*soak_pushback_on_violation_t)(void* user_data, soak_pushback_kind_t kind, const soak_arrival_t* arrival,
                                             const char* what);

soak_pushback_t* soak_pushback_setup(void);
void soak_pushback_shutdown(soak_pushback_t* p);
void soak_pushback_add_arrival(soak_pushback_t* p, const soak_arrival_t* arrival);
void soak_pushback_add_signal(soak_pushback_t* p, const soak_pushback_signal_t* signal);
/* The upstream advertises the rate from at_ms on; per_s < 0: it withdraws its rate. */
void soak_pushback_set_rate(soak_pushback_t* p, int64_t at_ms, uint64_t server, double per_s);
/* Reports each arrival that violates an upstream's pushback. leaving_grace_ms: time after the announcement of leaving
   in which requests may still be sent. */
void soak_pushback_check(const soak_pushback_t* p, int64_t leaving_grace_ms, soak_pushback_on_violation_t on_violation,
                         void* user_data);

#endif
