#ifndef CW_TOOLS_SOAK_PUSHBACK_H
#define CW_TOOLS_SOAK_PUSHBACK_H
/*
    What upstreams asked of hosts in a soak, in the heads of their answers, and whether the hosts kept to it: a rate for
    all hosts together, rest from one host, and to send nothing more to an upstream that leaves.
*/
#include <stdbool.h>
#include <stdint.h>

#define SOAK_PUSHBACK_RATE_GRACE_MS 3000     /* from the naming of a rate until it must be kept */
#define SOAK_PUSHBACK_WINDOW_MS 4000         /* in which it is counted */
#define SOAK_PUSHBACK_REACTION_MS 500        /* after an answer, until its host must heed it */
#define SOAK_PUSHBACK_BACKOFF_ARRIVALS_MAX 2 /* requests that may come in a rest after that */

/* A request that came to an upstream, or an answer of it. server: hash of the name and of the life. */
typedef struct soak_arrival_t {
    int64_t at_ms, sent_ms; /* sent_ms: by the caller */
    uint64_t server, host;
    bool is_excused; /* the host, or the upstream, was disturbed shortly before */
} soak_arrival_t;

typedef enum soak_pushback_kind_t {
    SOAK_PUSHBACK_RATE = 0,
    SOAK_PUSHBACK_BACKOFF,
    SOAK_PUSHBACK_LEAVING
} soak_pushback_kind_t;

/* What an answer told a host. */
typedef struct soak_pushback_signal_t {
    soak_pushback_kind_t kind;
    int64_t at_ms;
    uint64_t server, host;
    uint32_t backoff_ms;
} soak_pushback_signal_t;

/* A rate that an upstream names, from_ms until until_ms (0: to the end). */
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
/* The upstream names the rate from now on; per_s < 0: none any more. */
void soak_pushback_set_rate(soak_pushback_t* p, int64_t at_ms, uint64_t server, double per_s);
/* Tells each arrival that came against an upstream's word; leaving_grace_ms: after the word of leaving. */
void soak_pushback_check(const soak_pushback_t* p, int64_t leaving_grace_ms, soak_pushback_on_violation_t on_violation,
                         void* user_data);

#endif
